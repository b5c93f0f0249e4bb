package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/golden"
	"github.com/gappond/gappond/internal/tuning"
)

// TestKeysMatchGoldenList: every key of the settings with the kind of its value, and every operators' key
// with its default, are those of the golden list.
func TestKeysMatchGoldenList(t *testing.T) {
	list := settingsKeys(reflect.TypeFor[Config](), "")
	defaults := &Config{Operator: tuning.Defaults()}
	for _, key := range Keys() {
		list = append(list, fmt.Sprintf("property %s = %s", key, defaults.Value(key)))
	}
	golden.CompareLines(t, "testdata/names.txt", list)
}

// settingsKeys lists the paths of a type's fields by their keys in the settings.
func settingsKeys(typ reflect.Type, path string) (list []string) {
	switch typ.Kind() {
	case reflect.Pointer:
		return settingsKeys(typ.Elem(), path)
	case reflect.Slice:
		return settingsKeys(typ.Elem(), path+"[]")
	case reflect.Struct:
		for i := range typ.NumField() {
			key := typ.Field(i).Tag.Get("toml")
			if key == "-" {
				continue
			}
			if key == "" {
				key = "without a key"
			}
			list = append(list, settingsKeys(typ.Field(i).Type, strings.TrimPrefix(path+"."+key, "."))...)
		}
		return list
	case reflect.String:
		return []string{"setting " + path + " string"}
	case reflect.Float64, reflect.Float32:
		return []string{"setting " + path + " float"}
	case reflect.Bool:
		return []string{"setting " + path + " boolean"}
	}
	if typ.ConvertibleTo(reflect.TypeFor[int64]()) {
		return []string{"setting " + path + " integer"}
	}
	return []string{"setting " + path + " of an unknown kind"}
}
