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

// designIndex links every page of designPages.
const (
	designIndex = "docs/design.md"
	designPages = "docs/design/*.md"
)

// invariantsHeading begins the table of a design page whose rows are an invariant and the
// tests that show it.
const invariantsHeading = "\n## Invariants\n"

var (
	// tableRow is a row of that table: what holds, and what shows it.
	tableRow  = regexp.MustCompile(`(?m)^\|([^|]+)\|([^|]+)\|$`)
	namedTest = regexp.MustCompile("`Test[A-Z]\\w*`")
)

// TestEveryInvariantNamesATest: every design page is in the index and states its invariants,
// and each of them names a test. That the tests exist is TestNamesOnPagesExist.
func TestEveryInvariantNamesATest(t *testing.T) {
	index, err := os.ReadFile(filepath.Join(moduleRoot, designIndex))
	if err != nil {
		t.Fatal(err)
	}
	pages, err := fs.Glob(os.DirFS(moduleRoot), designPages)
	if err != nil || len(pages) == 0 {
		t.Fatalf("no page matches %s: %v", designPages, err)
	}
	for _, page := range pages {
		if !strings.Contains(string(index), "](design/"+path.Base(page)+")") {
			t.Errorf("%s does not link %s", designIndex, page)
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

// invariantProblems says what is wrong with the invariants of a design page.
func invariantProblems(text string) []string {
	_, table, found := strings.Cut(text, invariantsHeading)
	if !found {
		return []string{"no section of invariants"}
	}
	var problems []string
	rows := tableRow.FindAllStringSubmatch(table, -1)
	const head = 2 // the columns' names and the line under them
	if len(rows) <= head {
		return []string{"no invariant is stated"}
	}
	for _, row := range rows[head:] {
		if !namedTest.MatchString(row[2]) {
			problems = append(problems, "no test shows that"+strings.TrimRight(row[1], " "))
		}
	}
	return problems
}

// TestInvariantProblems shows what is found wrong.
func TestInvariantProblems(t *testing.T) {
	const head = "\n## Invariants\n\n| invariant | shown by |\n| --- | --- |\n"
	for text, want := range map[string]int{
		"# Page\n":                         1,
		head:                               1,
		head + "| it holds | `TestIt` |\n": 0,
		head + "| it holds | somebody's word |\n":    1,
		head + "| a | `TestA` |\n| b | `testB` |\n":  1,
		head + "| a | |\n| b | `TestB`, `TestC` |\n": 1,
	} {
		if problems := invariantProblems(text); len(problems) != want {
			t.Errorf("%q: %q", text, problems)
		}
	}
}
