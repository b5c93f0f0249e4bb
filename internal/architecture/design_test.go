package architecture

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// designIndex is the page that links to every page of designPages.
const (
	designIndex = "docs/design.md"
	designPages = "docs/design/*.md"
)

// invariantsHeading is the heading above the table of invariants on a design page. Each row of
// the table states an invariant and names the tests that check it.
const invariantsHeading = "\n## Invariants\n"

var (
	// tableRow matches a row of that table: the invariant and its tests.
	tableRow  = regexp.MustCompile(`(?m)^\|([^|]+)\|([^|]+)\|$`)
	namedTest = regexp.MustCompile("`Test[A-Z]\\w*`")
)

// TestEveryInvariantNamesATest checks that the index links to every design page, and that each
// page states invariants and names a test for each. TestNamesOnPagesExist checks that these
// tests exist.
func TestEveryInvariantNamesATest(t *testing.T) {
	index, err := os.ReadFile(filepath.Join(moduleRoot, designIndex))
	if err != nil {
		t.Fatal(err)
	}
	pages, err := fs.Glob(os.DirFS(moduleRoot), designPages)
	if err != nil || len(pages) == 0 {
		t.Fatalf("no page matches %s, or the pattern is invalid: %v", designPages, err)
	}
	for _, page := range pages {
		if !strings.Contains(string(index), "](design/"+path.Base(page)+")") {
			t.Errorf("%s does not link to %s", designIndex, page)
		}
		text, err := os.ReadFile(filepath.Join(moduleRoot, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, problem := range invariantProblems(string(text)) {
			t.Errorf("%s: %s", page, problem)
		}
	}
}

// invariantProblems returns the problems in the table of invariants of a design page.
func invariantProblems(text string) []string {
	_, table, found := strings.Cut(text, invariantsHeading)
	if !found {
		return []string{"the page has no section \"Invariants\""}
	}
	var problems []string
	rows := tableRow.FindAllStringSubmatch(table, -1)
	const headerRows = 2 // the column headings and the line below them
	if len(rows) <= headerRows {
		return []string{"the table of invariants has no rows"}
	}
	for _, row := range rows[headerRows:] {
		if !namedTest.MatchString(row[2]) {
			problems = append(problems, "no test is named for the invariant:"+strings.TrimRight(row[1], " "))
		}
	}
	return problems
}

// TestInvariantProblems checks that invariantProblems finds each kind of problem.
func TestInvariantProblems(t *testing.T) {
	const tableHeader = "\n## Invariants\n\n| invariant | shown by |\n| --- | --- |\n"
	for text, want := range map[string]int{
		"# Page\n":  1,
		tableHeader: 1,
		tableHeader + "| it holds | `TestIt` |\n":           0,
		tableHeader + "| it holds | checked by review |\n":  1,
		tableHeader + "| a | `TestA` |\n| b | `testB` |\n":  1,
		tableHeader + "| a | |\n| b | `TestB`, `TestC` |\n": 1,
	} {
		if problems := invariantProblems(text); len(problems) != want {
			t.Errorf("%q: %q", text, problems)
		}
	}
}
