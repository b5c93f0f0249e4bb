package architecture

import (
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/config"
)

// checkedPages are the patterns of the pages on which every name must exist. These are checked:
//
//   - a path that begins with internal/, cmd/, docs/ or deploy/, anywhere on the page including
//     its diagrams: it exists. "internal/a/..." means internal/a, and "internal/a.Name" means a
//     declaration of that package;
//   - a local Markdown link: the file exists, relative to the page, and has the heading that
//     the anchor after "#" refers to;
//   - in backticks, `name.go` or `directory/name.go`: the path of a Go file ends with it;
//   - in backticks, `TestName`, `BenchmarkName` or `FuzzName`: a function of that name exists;
//   - in backticks, `name()`: some package declares a function or method of that name;
//   - in backticks, `package.Name` or `package.Type.Member`, exported or not: the package
//     declares it, and a member is a field or method of the type;
//   - in backticks, `Type.Member`: some package declares it;
//   - in backticks, other words joined by dots: they are a key of the settings file or of the
//     operators' properties;
//   - in backticks, `event: text`: the sources log exactly that message;
//   - in backticks, `reason: text`: the sources contain exactly that string literal, for example
//     as the value of a log attribute;
//   - in backticks, `gappond_name` or `gappond_name{label}`: the sources have a metric of that
//     name;
//   - in fenced blocks, package.Name and package.Type.Member, if the package is one of this module
//     and Name is exported: the package declares it.
//
// Not checked are names in imported packages of other modules (`http.Server`), file names other
// than those of Go files, and everything else in backticks.
var checkedPages = []string{"*.md", "docs/*.md", "docs/design/*.md"}

// historicalPages also name things that no longer exist or do not exist yet. Only their links are
// checked.
var historicalPages = []string{
	"docs/ROADMAP.md",      // plans, with packages that do not exist yet
	"docs/measurements.md", // measurements of earlier versions, with the names of those versions
	"docs/questions.md",    // questions and answers about earlier versions
}

// requiredPages must exist and be among the pages on which every name is checked.
var requiredPages = []string{"README.md", "docs/architecture.md", "docs/design.md", "docs/operations.md", "docs/recovery.md"}

// TestNamesOnPagesExist checks that every name on the pages of checkedPages exists, and every local
// link on historicalPages.
func TestNamesOnPagesExist(t *testing.T) {
	checker := newPageChecker(t)
	pages := pagesToCheck(t)
	for _, page := range requiredPages {
		if !slices.Contains(pages, page) {
			t.Errorf("%s is missing or not checked", page)
		}
	}
	for _, page := range pages {
		text, err := os.ReadFile(filepath.Join(moduleRoot, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, problem := range checker.problems(page, string(text)) {
			t.Error(problem)
		}
	}
	for _, page := range historicalPages {
		text, err := os.ReadFile(filepath.Join(moduleRoot, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, problem := range linkProblems(page, fencedBlock.ReplaceAllString(string(text), "")) {
			t.Error(problem)
		}
	}
}

// pagesToCheck returns the pages that match checkedPages and are not in historicalPages.
func pagesToCheck(t *testing.T) []string {
	t.Helper()
	var pages []string
	for _, pattern := range checkedPages {
		matches, err := fs.Glob(os.DirFS(moduleRoot), pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, page := range matches {
			if !slices.Contains(historicalPages, page) {
				pages = append(pages, page)
			}
		}
	}
	return pages
}

// TestPageChecker checks for each kind of name that an existing one passes and a missing one fails.
func TestPageChecker(t *testing.T) {
	checker := newPageChecker(t)
	for _, existing := range []string{
		"`internal/buddy/buddy.go`, `internal/...`, internal/buddy. `cmd/gappond`",
		"`internal/config.Config`", "`go test ./internal/buddy`", "[design](design.md#glossary) [cell](design.md#where-each-section-went) [x](https://example.org/y.md)",
		"`buddy.go`", "`buddy/buddy.go`", "`TestPageChecker`", "`newPageChecker()`", "`config.Load()`",
		"`config.Config`", "`config.Config.Cluster`", "`architecture.pageChecker.problems`", "`pageChecker.problems`",
		"`config.Peer.Name`", "`cluster.workers.cancel_s`", "`cluster.teams`", "`fleet.idle-return.seconds`",
		"`http.Server`", "`gappond_leading`", "`gappond_recovery_differences{class}`",
		"`event: serving`", "`reason: leader lease taken over`", "`service.toml`", "`GET /metrics`", "`LOG_LEVEL`", "`200`", "`127.0.0.1:8080`",
		"```mermaid\nconfig.Load --> internal/buddy\nhttp.Nothing --> config.toml\n```",
	} {
		if problems := checker.problems("docs/page.md", existing); len(problems) > 0 {
			t.Errorf("%s: %q", existing, problems)
		}
	}
	for _, missing := range []string{
		"`internal/buddy/nothing.go`", "internal/nothing", "`internal/nothing/...`", "`cmd/nothing`", "`docs/nothing.md`",
		"`internal/config.Nothing`", "`go test ./internal/nothing`", "[design](nothing.md)", "[design](design.md#nothing)", "[here](#nothing)",
		"`nothing.go`", "`config/buddy.go`", "`TestNothing`", "`BenchmarkNothing`", "`nothingAtAll()`", "`config.Nothing()`",
		"`config.Nothing`", "`config.Config.Nothing`", "`architecture.pageChecker.nothing`", "`pageChecker.nothing`",
		"`event: nothing at all`", "`reason: nothing at all`", "`event: leader lease taken over`",
		"`nothing.Type`", "`gappond_nothing`", "`gappond_nothing{class}`", "`cluster.nothing`", "`cluster.workers.nothing`", "`fleet.nothing-at-all`",
		"```\nconfig.Nothing\n```", "```\nconfig.Config.Nothing\n```", "```mermaid\nA --> internal/nothing\n```",
	} {
		if problems := checker.problems("docs/page.md", missing); len(problems) != 1 {
			t.Errorf("%s: %q", missing, problems)
		}
	}
}

var (
	fencedBlock         = regexp.MustCompile("(?ms)^```.*?^```")
	codeSpan            = regexp.MustCompile("`([^`\n]+)`")
	localLink           = regexp.MustCompile(`\]\(([^)#:\s]+)(?:#[^)]*)?\)`)
	headingLink         = regexp.MustCompile(`\]\(([^)#:\s]*)#([^)\s]+)\)`)
	heading             = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	nonAnchorCharacters = regexp.MustCompile(`[^\w -]`)
	repositoryPath      = regexp.MustCompile(`(?:^|[^\w./-])(?:\./)?((?:internal|cmd|docs|deploy)/[\w./-]+)`)
	goFile              = regexp.MustCompile(`^[\w./-]+\.go$`)
	testFunction        = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z]\w*$`)
	functionCall        = regexp.MustCompile(`^\w+\(\)$`)
	dottedName          = regexp.MustCompile(`^[A-Za-z_]\w*(?:\.[A-Za-z_][\w-]*)+$`)
	metricName          = regexp.MustCompile(`^(gappond_\w+)(?:\{[^}]*\})?$`)
	exportedName        = regexp.MustCompile(`\b([a-z]\w*)\.([A-Z]\w*(?:\.\w+)?)`)
)

// uncheckedExtensions are the extensions of file names that are not checked when they stand in
// backticks without a directory.
var uncheckedExtensions = []string{".toml", ".md", ".properties", ".sh", ".mod", ".sum", ".html", ".json", ".jsonl", ".txt", ".conf"}

// pageChecker contains the names that a page may use.
type pageChecker struct {
	declared *declarations
	settings map[string]bool
	events   loggedEvents
}

func newPageChecker(t *testing.T) *pageChecker {
	t.Helper()
	c := &pageChecker{declared: readDeclarations(t), settings: map[string]bool{}, events: readEvents(t)}
	c.addSettings("", reflect.TypeFor[config.Config]())
	for _, key := range config.Keys() {
		c.settings[key] = true
	}
	return c
}

// addSettings adds the keys of a section of the settings file, and of the sections in it.
func (c *pageChecker) addSettings(prefix string, part reflect.Type) {
	for part.Kind() == reflect.Pointer || part.Kind() == reflect.Slice {
		part = part.Elem()
	}
	if part.Kind() != reflect.Struct {
		return
	}
	for field := range part.Fields() {
		if key := field.Tag.Get("toml"); key != "" && key != "-" {
			c.settings[prefix+key] = true
			c.addSettings(prefix+key+".", field.Type)
		}
	}
}

// problems returns a message for each nonexistent name and each broken link on a page.
func (c *pageChecker) problems(page, text string) []string {
	var problems []string
	add := func(name, why string) { problems = append(problems, problemText(page, name, why)) }
	for _, match := range repositoryPath.FindAllStringSubmatch(text, -1) {
		if name := strings.TrimRight(match[1], "./-"); !c.pathExists(name) {
			add(name, "no such file, directory or declaration")
		}
	}
	for _, block := range fencedBlock.FindAllString(text, -1) {
		for _, match := range exportedName.FindAllStringSubmatch(block, -1) {
			if c.declared.hasPackage(match[1]) && !c.declared.declaredInPackage(match[1], match[2]) {
				add(match[0], "package "+match[1]+" does not declare "+match[2])
			}
		}
	}
	text = fencedBlock.ReplaceAllString(text, "")
	problems = append(problems, linkProblems(page, text)...)
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		if why := c.spanProblem(match[1]); why != "" {
			add(match[0], why)
		}
	}
	return problems
}

// problemText returns the message about a name that does not exist.
func problemText(page, name, why string) string {
	return fmt.Sprintf("%s names %s: %s", page, name, why)
}

// linkProblems returns a message for each local link whose file or heading does not exist. The
// given text of the page has no fenced blocks.
func linkProblems(page, text string) []string {
	var problems []string
	for _, match := range localLink.FindAllStringSubmatch(text, -1) {
		if _, err := os.Stat(filepath.Join(moduleRoot, path.Dir(page), match[1])); err != nil {
			problems = append(problems, problemText(page, match[1], "no such file, relative to the page"))
		}
	}
	for _, match := range headingLink.FindAllStringSubmatch(text, -1) {
		if !hasHeading(page, text, match[1], match[2]) {
			problems = append(problems, problemText(page, match[1]+"#"+match[2], "no such heading"))
		}
	}
	return problems
}

// hasHeading reports whether the linked page has a heading with the anchor. If linked is empty, the
// link refers to the page itself, whose text is given. For a linked page that cannot be read it
// returns true, because linkProblems reports a missing file separately.
func hasHeading(page, text, linked, anchor string) bool {
	if linked != "" {
		content, err := os.ReadFile(filepath.Join(moduleRoot, path.Dir(page), linked))
		if err != nil {
			return true
		}
		text = fencedBlock.ReplaceAllString(string(content), "")
	}
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		words := nonAnchorCharacters.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(words, " ", "-") == anchor {
			return true
		}
	}
	return false
}

// pathExists reports whether a path relative to the root is a file, a directory, or the path of a
// package followed by a dot and the name of one of its declarations.
func (c *pageChecker) pathExists(name string) bool {
	if _, err := os.Stat(filepath.Join(moduleRoot, name)); err == nil {
		return true
	}
	directory, last := path.Split(name)
	packageName, declaration, _ := strings.Cut(last, ".")
	s := c.declared.packages[directory+packageName]
	return s != nil && c.declared.declares(s, declaration)
}

// spanProblem returns why the name in a code span does not exist, or "" if there is no problem.
func (c *pageChecker) spanProblem(span string) string {
	event, isEvent := strings.CutPrefix(span, "event: ")
	reason, isReason := strings.CutPrefix(span, "reason: ")
	switch {
	case isEvent:
		if !c.events.all[event] {
			return "the sources log no such message"
		}
	case isReason:
		if !c.events.literals[reason] {
			return "the sources have no such string"
		}
	case repositoryPath.MatchString(span):
		return "" // problems checks all paths
	case goFile.MatchString(span):
		if !c.declared.hasFile(span) {
			return "no Go file has a path that ends with it"
		}
	case testFunction.MatchString(span):
		if !c.declared.declaredAnywhere(span) {
			return "no such test, benchmark or fuzz test"
		}
	case functionCall.MatchString(span):
		if !c.declared.hasFunction(strings.TrimSuffix(span, "()")) {
			return "no such function or method"
		}
	case metricName.MatchString(span):
		if !c.declared.metrics[metricName.FindStringSubmatch(span)[1]] {
			return "no such metric"
		}
	case dottedName.MatchString(strings.TrimSuffix(span, "()")):
		return c.dottedProblem(strings.TrimSuffix(span, "()"))
	}
	return ""
}

// dottedProblem returns why a name of words joined by dots does not exist, or "" if there is no
// problem.
func (c *pageChecker) dottedProblem(name string) string {
	first, rest, _ := strings.Cut(name, ".")
	switch {
	case c.settings[name], slices.Contains(uncheckedExtensions, path.Ext(name)):
		return ""
	case c.declared.hasPackage(first):
		if !c.declared.declaredInPackage(first, rest) {
			return "package " + first + " does not declare " + rest
		}
	case c.declared.declaredAnywhere(name), c.declared.externalPackages[first]:
	default:
		return "no package, type member or settings key of that name"
	}
	return ""
}
