package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path"
	"path/filepath"
	"strings"
	"testing"
)

// modelPackage is the package that declares jobs and attempts. Only its methods change their
// states.
const modelPackage = "internal/coordination/cluster"

// modelStateFields are the fields that contain the states of attempts and jobs. Field names that
// other types also have (Cancelled, Done) are left out, because the check has no type information
// to distinguish them.
var modelStateFields = map[string]bool{
	"Committed": true, "Orphaned": true, "StartSent": true, "StartInResponse": true, "StartUnanswered": true,
	"StartsInFlight": true, "StartSentAt": true, "StopSentAt": true, "ReportedState": true, "RunningSince": true,
	"Stopping": true, "Finished": true,
}

// TestOnlyModelPackageSetsStateFields checks that non-test code of the coordination packages other
// than modelPackage never assigns to a state of an attempt or a job. Each state change is a method
// of the model, which ensures that mutually exclusive states are never set together.
func TestOnlyModelPackageSetsStateFields(t *testing.T) {
	examinedFiles := 0
	for _, file := range goFiles(t) {
		if !strings.HasPrefix(file, "internal/coordination/") || path.Dir(file) == modelPackage || strings.HasSuffix(file, "_test.go") {
			continue
		}
		positions := token.NewFileSet()
		parsed, err := parser.ParseFile(positions, filepath.Join(moduleRoot, file), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		examinedFiles++
		for _, field := range assignedStateFields(parsed) {
			t.Errorf("%s sets %s: call a method of package cluster instead, or add one", positions.Position(field.Pos()), field.Name)
		}
	}
	if examinedFiles == 0 {
		t.Error("no file was examined")
	}
}

// TestAssignedStateFields checks that assignedStateFields finds each kind of assignment.
func TestAssignedStateFields(t *testing.T) {
	for source, want := range map[string]int{
		"a.Committed = true":                1,
		"a.Stopping, a.GraceS = true, 1":    1,
		"a.Job.Finished, x = true, 2":       1,
		"a.StartsInFlight++":                1,
		"a.StartsInFlight -= 1":             1,
		"if a.Committed { x = a.Stopping }": 0,
	} {
		parsed, err := parser.ParseFile(token.NewFileSet(), "", "package p\nfunc f() { "+source+" }", parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(assignedStateFields(parsed)); got != want {
			t.Errorf("%s: %d found, want %d", source, got, want)
		}
	}
}

// assignedStateFields returns the identifiers of modelStateFields that a file assigns to.
func assignedStateFields(file *ast.File) (found []*ast.Ident) {
	collect := func(targets ...ast.Expr) {
		for _, target := range targets {
			if selector, ok := target.(*ast.SelectorExpr); ok && modelStateFields[selector.Sel.Name] {
				found = append(found, selector.Sel)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch statement := node.(type) {
		case *ast.AssignStmt:
			collect(statement.Lhs...)
		case *ast.IncDecStmt:
			collect(statement.X)
		}
		return true
	})
	return found
}
