package architecture

import (
	"fmt"
	"go/parser"
	"go/token"
	"maps"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// dependencies lists the packages of this module that a package may import.
type dependencies struct {
	imports []string // in all its files
	tests   []string // in its test files only, in addition to imports

	// pure packages do no input or output and start no concurrent work. They import none of
	// impurePackages, except in tests.
	pure bool
}

// allowedImports has a row for each package of the module, with paths relative to the module
// root. It is exact: the test fails for an import that is not listed, and for a listed import
// that no file uses. So the table shows the actual imports.
var allowedImports = map[string]dependencies{
	"cmd/gappond": {imports: []string{
		"internal/cli",
		"internal/config",
		"internal/coordination",
		"internal/transport",
		"internal/tuning",
	}},
	"cmd/recoverybench": {imports: []string{"internal/cli", "internal/simulation"}},
	"internal/cli":      {},

	"internal/transport": {imports: []string{
		"internal/storage",
		"internal/config",
		"internal/coordination",
		"internal/coordination/agents",
		"internal/coordination/lifecycle",
		"internal/coordination/reconcile",
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/golden"}},

	"internal/coordination": {pure: true, imports: []string{
		"internal/config",
		"internal/coordination/agents",
		"internal/coordination/answers",
		"internal/coordination/api",
		"internal/coordination/autoscaler",
		"internal/coordination/cluster",
		"internal/coordination/commit",
		"internal/coordination/election",
		"internal/coordination/kv",
		"internal/coordination/lifecycle",
		"internal/coordination/loader",
		"internal/coordination/membership",
		"internal/coordination/mirror",
		"internal/coordination/reconcile",
		"internal/coordination/restore",
		"internal/coordination/scheduler",
		"internal/protocol",
		"internal/storage",
		"internal/tuning",
	}},
	"internal/coordination/kv": {pure: true, imports: []string{"internal/protocol"}},
	"internal/coordination/answers": {pure: true, imports: []string{
		"internal/protocol",
		"internal/tuning",
	}},
	"internal/coordination/api": {pure: true, imports: []string{
		"internal/storage",
		"internal/config",
		"internal/coordination/answers",
		"internal/coordination/cluster",
		"internal/coordination/kv",
		"internal/protocol",
		"internal/tuning",
	}},
	"internal/coordination/autoscaler": {pure: true, imports: []string{
		"internal/config",
		"internal/coordination/cluster",
		"internal/coordination/scheduler",
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/coordination/clustertest"}},
	"internal/coordination/membership": {pure: true, imports: []string{
		"internal/config",
		"internal/coordination/kv",
		"internal/protocol",
		"internal/storage",
		"internal/tuning",
	}},
	"internal/coordination/mirror": {pure: true, imports: []string{
		"internal/config",
		"internal/coordination/kv",
		"internal/protocol",
		"internal/storage",
		"internal/tuning",
	}},
	"internal/coordination/election": {pure: true, imports: []string{
		"internal/storage",
		"internal/config",
		"internal/coordination/kv",
		"internal/protocol",
		"internal/tuning",
	}},
	"internal/coordination/commit": {pure: true, imports: []string{
		"internal/config",
		"internal/coordination/cluster",
		"internal/coordination/kv",
		"internal/protocol",
		"internal/storage",
		"internal/tuning",
	}, tests: []string{
		"internal/coordination/clustertest",
		"internal/coordination/commit",
		"internal/coordination/lifecycle",
		"internal/coordination/loader",
		"internal/coordination/reconcile",
		"internal/coordination/scheduler",
	}},
	"internal/coordination/loader": {pure: true, imports: []string{
		"internal/coordination/cluster",
		"internal/coordination/commit",
		"internal/protocol",
		"internal/storage",
		"internal/tuning",
	}, tests: []string{
		"internal/coordination/clustertest",
		"internal/coordination/loader",
	}},
	"internal/coordination/restore": {pure: true, imports: []string{
		"internal/coordination/cluster",
		"internal/coordination/kv",
		"internal/protocol",
		"internal/storage",
		"internal/tuning",
	}, tests: []string{
		"internal/config",
		"internal/coordination/clustertest",
	}},
	"internal/coordination/scheduler": {pure: true, imports: []string{
		"internal/buddy",
		"internal/config",
		"internal/coordination/cluster",
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/coordination/clustertest"}},
	"internal/coordination/agents": {pure: true, imports: []string{
		"internal/config",
		"internal/coordination/cluster",
		"internal/coordination/lifecycle",
		"internal/coordination/reconcile",
		"internal/coordination/scheduler",
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/coordination/agents", "internal/coordination/clustertest"}},
	"internal/coordination/lifecycle": {pure: true, imports: []string{
		"internal/coordination/cluster",
		"internal/coordination/reconcile",
		"internal/coordination/scheduler",
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/coordination/clustertest", "internal/coordination/lifecycle"}},
	"internal/coordination/reconcile": {pure: true, imports: []string{"internal/protocol"}},
	"internal/coordination/clustertest": {pure: true, imports: []string{
		"internal/config",
		"internal/coordination/cluster",
		"internal/protocol",
		"internal/tuning",
	}},
	"internal/coordination/cluster": {pure: true, imports: []string{
		"internal/buddy",
		"internal/config",
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/coordination/cluster", "internal/coordination/clustertest"}},

	"internal/storage": {pure: true, imports: []string{
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/golden"}},
	"internal/config": {imports: []string{
		"internal/protocol",
		"internal/tuning",
	}, tests: []string{"internal/golden"}},
	"internal/protocol": {tests: []string{"internal/golden"}},
	"internal/buddy":    {pure: true},
	"internal/tuning":   {pure: true},

	"internal/simulation": {
		imports: []string{
			"internal/storage",
			"internal/config",
			"internal/coordination",
			"internal/protocol",
			"internal/tuning",
		},
		tests: []string{
			"internal/coordination/reconcile",
			"internal/golden",
			"internal/transport",
		}},
	"internal/golden":       {},
	"internal/architecture": {tests: []string{"internal/config"}},
}

// impurePackages are the packages of the standard library that a pure package must not import.
var impurePackages = []string{
	"context", "crypto/rand", "net", "os", "os/exec", "os/signal", "sync", "sync/atomic", "syscall",
}

// TestImportDirections checks that the imports of every package match allowedImports.
func TestImportDirections(t *testing.T) {
	for _, violation := range importViolations(readImports(t), allowedImports) {
		t.Error(violation)
	}
}

// TestImportViolations checks that importViolations finds each kind of violation.
func TestImportViolations(t *testing.T) {
	allowed := map[string]dependencies{
		"internal/a": {pure: true, imports: []string{"internal/b"}, tests: []string{"internal/c"}},
		"internal/b": {},
	}
	for name, c := range map[string]struct {
		found map[string]packageImports
		want  []string // a substring of each violation
	}{
		"as allowed": {found: map[string]packageImports{
			"internal/a": {code: []string{"internal/b", "net/http"}, tests: []string{"internal/b", "internal/c", "os"}},
			"internal/b": {code: []string{"os"}},
		}},
		"unlisted package": {want: []string{"internal/new has no row"}, found: map[string]packageImports{
			"internal/a":   {code: []string{"internal/b"}, tests: []string{"internal/c"}},
			"internal/b":   {},
			"internal/new": {code: []string{"internal/b"}},
		}},
		"listed package does not exist": {want: []string{"internal/b does not exist"}, found: map[string]packageImports{
			"internal/a": {code: []string{"internal/b"}, tests: []string{"internal/c"}},
		}},
		"import not allowed": {want: []string{"internal/b imports internal/a"}, found: map[string]packageImports{
			"internal/a": {code: []string{"internal/b"}, tests: []string{"internal/c"}},
			"internal/b": {code: []string{"internal/a"}},
		}},
		"test import in non-test code": {want: []string{"internal/a imports internal/c"}, found: map[string]packageImports{
			"internal/a": {code: []string{"internal/b", "internal/c"}, tests: []string{"internal/c"}},
			"internal/b": {},
		}},
		"test import not allowed": {want: []string{"tests of internal/b import internal/c"}, found: map[string]packageImports{
			"internal/a": {code: []string{"internal/b"}, tests: []string{"internal/c"}},
			"internal/b": {tests: []string{"internal/c"}},
		}},
		"impure import in pure package": {want: []string{"internal/a imports os"}, found: map[string]packageImports{
			"internal/a": {code: []string{"internal/b", "os"}, tests: []string{"internal/c"}},
			"internal/b": {},
		}},
		"allowed but unused": {want: []string{"internal/a may import internal/b", "tests of internal/a may import internal/c"},
			found: map[string]packageImports{"internal/a": {}, "internal/b": {}}},
	} {
		t.Run(name, func(t *testing.T) {
			violations := importViolations(c.found, allowed)
			if len(violations) != len(c.want) {
				t.Fatalf("violations %q, want %q", violations, c.want)
			}
			for i, want := range c.want {
				if !strings.Contains(violations[i], want) {
					t.Errorf("violation %q, want one that contains %q", violations[i], want)
				}
			}
		})
	}
}

// packageImports lists what the non-test and the test files of a package import. Packages of this
// module are given by their path relative to its root, others by their import path.
type packageImports struct{ code, tests []string }

// readImports returns the imports of every package of the module, in the files of all platforms.
func readImports(t *testing.T) map[string]packageImports {
	t.Helper()
	found := map[string]packageImports{}
	for _, file := range goFiles(t) {
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(moduleRoot, file), nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		p := found[path.Dir(file)]
		list := &p.code
		if strings.HasSuffix(file, "_test.go") {
			list = &p.tests
		}
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			*list = append(*list, strings.TrimPrefix(imported, modulePath+"/"))
		}
		found[path.Dir(file)] = p
	}
	return found
}

// importViolations returns the differences between the actual and the allowed imports, in a fixed
// order. Each text says how to resolve the difference.
func importViolations(found map[string]packageImports, allowed map[string]dependencies) []string {
	var violations []string
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, name := range slices.Sorted(maps.Keys(allowed)) {
		if _, exists := found[name]; !exists {
			add("%s does not exist: remove its row from allowedImports in imports_test.go", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		row, listed := allowed[name]
		if !listed {
			add("%s has no row in allowedImports in imports_test.go: decide what it may import and add\n\t%q: {imports: %#v},\nand name it in docs/architecture.md",
				name, name, modulePackages(found[name].code))
			continue
		}
		violations = append(violations, packageViolations(name, found[name], row)...)
	}
	return violations
}

// packageViolations returns the violations of one package.
func packageViolations(name string, found packageImports, row dependencies) []string {
	var violations []string
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, imported := range modulePackages(found.code) {
		if !slices.Contains(row.imports, imported) {
			add("%s imports %s, which allowedImports does not allow: move the code to a package that may have this dependency, or change the row and give the reason in the commit message", name, imported)
		}
	}
	for _, imported := range modulePackages(found.tests) {
		if !slices.Contains(row.imports, imported) && !slices.Contains(row.tests, imported) {
			add("tests of %s import %s, which allowedImports does not allow: add it to the row's tests if the dependency is acceptable", name, imported)
		}
	}
	for _, imported := range impurePackages {
		if row.pure && slices.Contains(found.code, imported) {
			add("%s imports %s, although its row says that it is pure: leave input, output and concurrency to its callers", name, imported)
		}
	}
	for _, imported := range row.imports {
		if !slices.Contains(found.code, imported) {
			add("%s may import %s but does not: remove it from its row in allowedImports", name, imported)
		}
	}
	for _, imported := range row.tests {
		if !slices.Contains(found.tests, imported) {
			add("tests of %s may import %s but do not: remove it from its row in allowedImports", name, imported)
		}
	}
	return violations
}

// modulePackages returns the packages of this module among the imports, sorted and without
// duplicates.
func modulePackages(imports []string) []string {
	selected := map[string]bool{}
	for _, imported := range imports {
		if strings.HasPrefix(imported, "internal/") || strings.HasPrefix(imported, "cmd/") {
			selected[imported] = true
		}
	}
	return slices.Sorted(maps.Keys(selected))
}
