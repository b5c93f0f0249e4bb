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

// modelPackage declares jobs and attempts, whose states only its methods change.
const modelPackage = "internal/coordination/cluster"

// modelStateFields are the fields that hold the states of attempts and jobs. Names that other
// types have too (Cancelled, Done) are left out: without types they can't be told apart.
var modelStateFields = map[string]bool{
	"Committed": true, "Orphaned": true, "StartSent": true, "StartInResponse": true, "StartUnanswered": true,
	"StartsInFlight": true, "StartSentAt": true, "StopSentAt": true, "ReportedState": true, "RunningSince": true,
	"Stopping": true, "Finished": true,
}

// TestOnlyModelPackageSetsStateFields: outside the model no code, tests apart, assigns to a state
// of an attempt or a job: each change has a named method, which keeps states that exclude
// each other apart.
func TestOnlyModelPackageSetsStateFields(t *testing.T) {
	examined := 0
	for _, file := range goFiles(t) {
		if !strings.HasPrefix(file, "internal/coordination/") || path.Dir(file) == modelPackage || strings.HasSuffix(file, "_test.go") {
			continue
		}
		positions := token.NewFileSet()
		parsed, err := parser.ParseFile(positions, filepath.Join(moduleRoot, file), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		examined++
		for _, field := range assignedStateFields(parsed) {
			t.Errorf("%s sets %s: use or add a method of the model", positions.Position(field.Pos()), field.Name)
		}
	}
	if examined == 0 {
		t.Error("no file was examined")
	}
}

// TestAssignedStateFields shows that assignedStateFields finds each kind of assignment.
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

// assignedStateFields are the names of model states that a file assigns to.
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
