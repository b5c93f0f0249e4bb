package golden

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// JSONNames lists the names in JSON of a package under test: the tags of all fields that its
// sources declare and, for each of the types, which are given by names of the test's own, the
// path and kind of every field and samples of the whole. A tag that no field of the types has
// is an error, so that no type can be forgotten, unless it is among the exempt ones.
func JSONNames(t *testing.T, types map[string]reflect.Type, exempt []string) []string {
	t.Helper()
	tags := declaredTags(t)
	list := slices.Clone(tags)
	reached := map[string]bool{}
	for _, tag := range exempt {
		reached[tag] = true
	}
	for name, typ := range types {
		paths := fieldPaths(typ, name)
		for _, path := range paths {
			path, _, _ = strings.Cut(strings.TrimPrefix(path, name), " ")
			for _, part := range strings.Split(path, ".") {
				reached["tag "+strings.TrimSuffix(part, "[]")] = true
			}
		}
		list = append(append(list, paths...), samples(t, typ, name)...)
	}
	for _, tag := range tags {
		if !reached[tag] {
			t.Errorf("%s is in no type of the list", tag)
		}
	}
	return list
}

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
			if name := typ.Field(i).Tag.Get("json"); name != "" {
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

// setAllFields sets every field of a value, down to one element of every list.
func setAllFields(v reflect.Value) {
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes([]byte(`{"x":1}`))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setAllFields(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setAllFields(v.Index(0))
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				setAllFields(v.Field(i))
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

// samples are a value of a type with every field set and one with none, in JSON.
func samples(t *testing.T, typ reflect.Type, name string) []string {
	t.Helper()
	full, empty := reflect.New(typ), reflect.New(typ)
	setAllFields(full.Elem())
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

// declaredTags are the tags for JSON of all fields that the sources in the working directory,
// the package under test, declare, each once, also those of types that are not exported.
func declaredTags(t *testing.T) (list []string) {
	t.Helper()
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
	slices.Sort(list)
	return slices.Compact(list)
}
