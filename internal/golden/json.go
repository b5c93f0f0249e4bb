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

// JSONNames lists the JSON names of the package under test: the tags of all fields that its sources
// declare and, for each of the given types, the path and kind of every field and two samples of the
// whole value. The keys of types are names that the test chooses for the list. The test fails for
// each declared tag that no field of the types has, unless the tag is exempt. So no type can be
// left out by mistake.
func JSONNames(t *testing.T, types map[string]reflect.Type, exempt []string) []string {
	t.Helper()
	tags := declaredTags(t)
	list := slices.Clone(tags)
	covered := map[string]bool{}
	for _, tag := range exempt {
		covered[tag] = true
	}
	for name, typ := range types {
		paths := fieldPaths(typ, name)
		for _, path := range paths {
			path, _, _ = strings.Cut(strings.TrimPrefix(path, name), " ")
			for _, part := range strings.Split(path, ".") {
				covered["tag "+strings.TrimSuffix(part, "[]")] = true
			}
		}
		list = append(append(list, paths...), samples(t, typ, name)...)
	}
	for _, tag := range tags {
		if !covered[tag] {
			t.Errorf("%s belongs to no listed type", tag)
		}
	}
	return list
}

// fieldPaths lists the paths and kinds of a type's fields by their JSON names.
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

// setAllFields sets every exported field of a value recursively. Every list gets one element.
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

// samples returns the JSON of a value with every field set and of the type's zero value.
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

// declaredTags returns the JSON tags, without duplicates, of all fields that the sources of the
// package under test declare, including those of unexported types. A test runs in the directory of
// its package.
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
