package storage

import (
	"encoding/json"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// storedRecords are the records, by names of this test's own.
var storedRecords = map[string]reflect.Type{
	"relayed frames": reflect.TypeFor[RelayedFrames](),
	"leader lease":   reflect.TypeFor[LeaderLease](),
	"restored":       reflect.TypeFor[Restored](),
	"task":           reflect.TypeFor[Task](),
	"job":            reflect.TypeFor[Job](),
	"task record":    reflect.TypeFor[TaskRecord](),
	"machine record": reflect.TypeFor[MachineRecord](),
	"final":          reflect.TypeFor[Final](),
}

// longTaskTags are the fields of the form of a task that version 0.1 wrote, which is only read.
var longTaskTags = []string{"tag i", "tag n", "tag m", "tag s", "tag d"}

// TestStoredNames: every key of the store, every field of every record, its place and its
// kind, and the records as a whole are those of the golden list.
func TestStoredNames(t *testing.T) {
	list := wireTags(t)
	tags := len(list)
	reached := map[string]bool{}
	for _, tag := range longTaskTags {
		reached[tag] = true
	}
	for name, typ := range storedRecords {
		paths := fieldPaths(typ, name)
		for _, path := range paths {
			path, _, _ = strings.Cut(strings.TrimPrefix(path, name), " ")
			for _, part := range strings.Split(path, ".") {
				reached["tag "+strings.TrimSuffix(part, "[]")] = true
			}
		}
		list = append(append(list, paths...), samples(t, typ, name)...)
	}
	for _, tag := range list[:tags] {
		if !reached[tag] {
			t.Errorf("%s is in no record of the list", tag)
		}
	}
	for _, task := range []Task{{Index: 1, Attempt: 2}, {Index: 1, Attempt: 2, Machine: "m", Incarnation: 3}, {Index: 1, Attempt: 2, Done: true}} {
		list = append(list, "task "+string(Encode(task)))
	}
	list = append(list, storedKeys(t)...)
	compareNames(t, list)
}

// storedKeys lists the keys and prefixes, and checks that the sources have no other.
func storedKeys(t *testing.T) (list []string) {
	known := []string{LivePrefix, LeaderKey, TypesKey, RestoredKey, JobPrefix, TaskPrefix, MachinePrefix, RelayPrefix, FinalPrefix}
	for _, key := range append(known, JobKey("run-1"), FinalKey("run-1"), TaskRecordKey("run-1", 2), MachineRecordKey("a-1"), RelayKey("node-0", "node-1")) {
		list = append(list, "key "+key)
	}
	for _, name := range []string{"records.go", "mirror.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
				text, _ := strconv.Unquote(l.Value)
				if (strings.HasPrefix(text, "g/") || strings.HasPrefix(text, "h/")) && !slices.Contains(known, text) {
					t.Errorf("%s is not in the list of keys", text)
				}
			}
			return true
		})
	}
	return list
}

// wireName is the name of a field in JSON, with its options.
func wireName(f reflect.StructField) string { return f.Tag.Get("json") }

// fieldPaths lists the paths of a type's fields by their names in JSON.
func fieldPaths(typ reflect.Type, path string) (list []string) {
	if typ == reflect.TypeFor[json.RawMessage]() {
		return []string{path + " any"}
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return fieldPaths(typ.Elem(), path)
	case reflect.Slice:
		if typ.Elem().Kind() == reflect.Uint8 {
			return []string{path + " bytes"}
		}
		return fieldPaths(typ.Elem(), path+"[]")
	case reflect.Struct:
		for i := range typ.NumField() {
			if name := wireName(typ.Field(i)); name != "" {
				list = append(list, fieldPaths(typ.Field(i).Type, path+"."+name)...)
			}
		}
		if len(list) == 0 {
			return []string{path + " of its own form"}
		}
		return list
	case reflect.String:
		return []string{path + " string"}
	case reflect.Bool:
		return []string{path + " boolean"}
	case reflect.Map, reflect.Interface, reflect.Array:
		return []string{path + " of a kind that this test does not know"}
	}
	return []string{path + " number"}
}

// fill sets every field of a message, down to one element of every list.
func fill(v reflect.Value) {
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes([]byte(`{"x":1}`))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.String:
		v.SetString("s")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64, reflect.Float32:
		v.SetFloat(1.5)
	default:
		v.Set(reflect.ValueOf(1).Convert(v.Type()))
	}
}

// samples are a message of a type with every field set and one with none, in JSON.
func samples(t *testing.T, typ reflect.Type, name string) []string {
	full, empty := reflect.New(typ), reflect.New(typ)
	fill(full.Elem())
	var list []string
	for kind, v := range map[string]reflect.Value{"full": full, "empty": empty} {
		text, err := json.Marshal(v.Elem().Interface())
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, kind+" "+name+" "+string(text))
	}
	return list
}

// wireTags are the names in JSON of all fields that the package's sources declare, also in
// types that are not exported; no message can be forgotten in the list.
func wireTags(t *testing.T) (list []string) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if f, ok := n.(*ast.Field); ok && f.Tag != nil {
				if text, err := strconv.Unquote(f.Tag.Value); err == nil {
					list = append(list, "tag "+reflect.StructTag(text).Get("json"))
				}
			}
			return true
		})
	}
	return list
}

// compareNames compares a list with the golden one.
func compareNames(t *testing.T, list []string) {
	t.Helper()
	slices.Sort(list)
	got := strings.Join(slices.Compact(list), "\n") + "\n"
	const file = "testdata/names.txt"
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != got {
		t.Errorf("the names differ from those of %s:\n%s", file, got)
	}
}
