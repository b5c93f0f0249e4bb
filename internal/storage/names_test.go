package storage

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/golden"
)

// storedRecords are the records, by names of this test's own.
var storedRecords = map[string]reflect.Type{
	"relayed frames": reflect.TypeFor[RelayedFrames](),
	"leader lease":   reflect.TypeFor[LeaderLease](),
	"restored":       reflect.TypeFor[RestoreMarker](),
	"task":           reflect.TypeFor[Task](),
	"job":            reflect.TypeFor[Job](),
	"task record":    reflect.TypeFor[TaskRecord](),
	"machine record": reflect.TypeFor[MachineRecord](),
	"final":          reflect.TypeFor[FinalRecord](),
}

// objectFormTags are the fields of the form of a task that version 0.1 wrote, which is only read.
var objectFormTags = []string{"tag i", "tag n", "tag m", "tag s", "tag d"}

// TestStoredNames: every key of the store, every field of every record, its place and its
// kind, and the records as a whole are those of the golden list.
func TestStoredNames(t *testing.T) {
	list := golden.JSONNames(t, storedRecords, objectFormTags)
	for _, task := range []Task{{Index: 1, Attempt: 2}, {Index: 1, Attempt: 2, Machine: "m", Incarnation: 3}, {Index: 1, Attempt: 2, Done: true}} {
		list = append(list, "task "+string(Encode(task)))
	}
	list = append(list, storedKeys(t)...)
	golden.CompareLines(t, "testdata/names.txt", list)
}

// storedKeys lists the keys and prefixes, and checks that the sources have no other.
func storedKeys(t *testing.T) (list []string) {
	known := []string{LivePrefix, LeaderKey, TypesKey, RestoreMarkerKey, JobPrefix, TaskRecordPrefix, MachineRecordPrefix, RelayPrefix, FinalRecordPrefix}
	for _, key := range append(known, JobKey("run-1"), FinalRecordKey("run-1"), TaskRecordKey("run-1", 2), MachineRecordKey("a-1"), RelayKey("node-0", "node-1")) {
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
