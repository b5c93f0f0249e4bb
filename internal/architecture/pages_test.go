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

// checkedPages are the patterns of the pages whose names must be real. What is checked:
//
//   - a path that begins with internal/, cmd/, docs/ or deploy/, anywhere on the page and in
//     its diagrams: it exists; "internal/a/..." stands for internal/a, and
//     "internal/a.Name" for a declaration of that package;
//   - a local link of Markdown: the file exists, seen from the page, and has the heading that
//     follows a "#";
//   - in backticks, `name.go` or `directory/name.go`: a Go file's path ends so;
//   - in backticks, `TestName`, `BenchmarkName` or `FuzzName`: such a function exists;
//   - in backticks, `name()`: a function or method of that name is declared somewhere;
//   - in backticks, `package.Name` or `package.Type.Member`, exported or not: the package
//     declares it, and a member is a field or method of the type;
//   - in backticks, `Type.Member`: some package declares it;
//   - in backticks, other words joined by dots: a key of the settings or of the operators'
//     properties;
//   - in backticks, `event: text`: the sources log exactly that message;
//   - in backticks, `reason: text`: the sources have exactly that string, as a log attribute's
//     value for example;
//   - in backticks, `gappond_name` or `gappond_name{label}`: such a metric is in the sources;
//   - in fenced blocks, package.Name and package.Type.Member of this module's packages, if
//     Name is exported.
//
// Names of packages outside the module that it imports (`http.Server`), names of files other
// than Go's, and all else in backticks are not checked.
var checkedPages = []string{"*.md", "docs/*.md", "docs/design/*.md"}

// historicalPages name what was, or is to come, as well as what is: of these only the links
// are checked.
var historicalPages = []string{
	"docs/ROADMAP.md",      // plans, with packages that do not exist yet
	"docs/measurements.md", // as measured then, with the names of then
	"docs/questions.md",    // as asked and answered then
}

// requiredPages are checked whole, and must be there.
var requiredPages = []string{"README.md", "docs/architecture.md", "docs/design.md", "docs/operations.md", "docs/recovery.md"}

// TestNamesOnPagesExist reads each page of checkedPages.
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

// pagesToCheck lists the pages that match checkedPages and are not historical.
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

// TestPageChecker shows for each kind of name that a real one passes and a wrong one fails.
func TestPageChecker(t *testing.T) {
	checker := newPageChecker(t)
	for _, right := range []string{
		"`internal/buddy/buddy.go`, `internal/...`, internal/buddy. `cmd/gappond`",
		"`internal/config.Config`", "`go test ./internal/buddy`", "[design](design.md#glossary) [cell](design.md#where-each-section-went) [x](https://example.org/y.md)",
		"`buddy.go`", "`buddy/buddy.go`", "`TestPageChecker`", "`newPageChecker()`", "`config.Load()`",
		"`config.Config`", "`config.Config.Cluster`", "`architecture.pageChecker.problems`", "`pageChecker.problems`",
		"`config.Peer.Name`", "`cluster.workers.cancel_s`", "`cluster.teams`", "`fleet.idle-return.seconds`",
		"`http.Server`", "`gappond_leading`", "`gappond_recovery_differences{class}`",
		"`event: serving`", "`reason: leader lease taken over`", "`service.toml`", "`GET /metrics`", "`LOG_LEVEL`", "`200`", "`127.0.0.1:8080`",
		"```mermaid\nconfig.Load --> internal/buddy\nhttp.Nothing --> config.toml\n```",
	} {
		if problems := checker.problems("docs/page.md", right); len(problems) > 0 {
			t.Errorf("%s: %q", right, problems)
		}
	}
	for _, wrong := range []string{
		"`internal/buddy/nothing.go`", "internal/nothing", "`internal/nothing/...`", "`cmd/nothing`", "`docs/nothing.md`",
		"`internal/config.Nothing`", "`go test ./internal/nothing`", "[design](nothing.md)", "[design](design.md#nothing)", "[here](#nothing)",
		"`nothing.go`", "`config/buddy.go`", "`TestNothing`", "`BenchmarkNothing`", "`nothingAtAll()`", "`config.Nothing()`",
		"`config.Nothing`", "`config.Config.Nothing`", "`architecture.pageChecker.nothing`", "`pageChecker.nothing`",
		"`event: nothing at all`", "`reason: nothing at all`", "`event: leader lease taken over`",
		"`nothing.Type`", "`gappond_nothing`", "`gappond_nothing{class}`", "`cluster.nothing`", "`cluster.workers.nothing`", "`fleet.nothing-at-all`",
		"```\nconfig.Nothing\n```", "```\nconfig.Config.Nothing\n```", "```mermaid\nA --> internal/nothing\n```",
	} {
		if problems := checker.problems("docs/page.md", wrong); len(problems) != 1 {
			t.Errorf("%s: %q", wrong, problems)
		}
	}
}

var (
	fencedBlock    = regexp.MustCompile("(?ms)^```.*?^```")
	codeSpan       = regexp.MustCompile("`([^`\n]+)`")
	localLink      = regexp.MustCompile(`\]\(([^)#:\s]+)(?:#[^)]*)?\)`)
	headingLink    = regexp.MustCompile(`\]\(([^)#:\s]*)#([^)\s]+)\)`)
	heading        = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	notInAnchors   = regexp.MustCompile(`[^\w -]`)
	repositoryPath = regexp.MustCompile(`(?:^|[^\w./-])(?:\./)?((?:internal|cmd|docs|deploy)/[\w./-]+)`)
	goFile         = regexp.MustCompile(`^[\w./-]+\.go$`)
	testFunction   = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z]\w*$`)
	functionCall   = regexp.MustCompile(`^\w+\(\)$`)
	dottedName     = regexp.MustCompile(`^[A-Za-z_]\w*(?:\.[A-Za-z_][\w-]*)+$`)
	metricName     = regexp.MustCompile(`^(gappond_\w+)(?:\{[^}]*\})?$`)
	exportedName   = regexp.MustCompile(`\b([a-z]\w*)\.([A-Z]\w*(?:\.\w+)?)`)
)

// uncheckedExtensions are the endings of names of files that are not looked for.
var uncheckedExtensions = []string{".toml", ".md", ".properties", ".sh", ".mod", ".sum", ".html", ".json", ".jsonl", ".txt", ".conf"}

// pageChecker knows what a page may name.
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

// addSettings takes up the keys of a part of the settings file.
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

// problems are the names on a page that are not real.
func (c *pageChecker) problems(page, text string) []string {
	var problems []string
	add := func(name, why string) { problems = append(problems, problemText(page, name, why)) }
	for _, match := range repositoryPath.FindAllStringSubmatch(text, -1) {
		if name := strings.TrimRight(match[1], "./-"); !c.pathExists(name) {
			add(name, "no such file, package or declaration")
		}
	}
	for _, block := range fencedBlock.FindAllString(text, -1) {
		for _, match := range exportedName.FindAllStringSubmatch(block, -1) {
			if c.declared.hasPackage(match[1]) && !c.declared.declaredInPackage(match[1], match[2]) {
				add(match[0], "package "+match[1]+" declares no "+match[2])
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

// problemText is what the tests say of a name that is not real.
func problemText(page, name, why string) string {
	return fmt.Sprintf("%s names %s: %s", page, name, why)
}

// linkProblems are the local links of a page, its fenced blocks left out, that lead nowhere.
func linkProblems(page, text string) []string {
	var problems []string
	for _, match := range localLink.FindAllStringSubmatch(text, -1) {
		if _, err := os.Stat(filepath.Join(moduleRoot, path.Dir(page), match[1])); err != nil {
			problems = append(problems, problemText(page, match[1], "no such file, seen from the page"))
		}
	}
	for _, match := range headingLink.FindAllStringSubmatch(text, -1) {
		if !hasHeading(page, text, match[1], match[2]) {
			problems = append(problems, problemText(page, match[1]+"#"+match[2], "no such heading"))
		}
	}
	return problems
}

// hasHeading reports whether the page that a link names, the page itself if it names none, has
// a heading with the anchor. A page that does not exist is reported elsewhere.
func hasHeading(page, text, linked, anchor string) bool {
	if linked != "" {
		content, err := os.ReadFile(filepath.Join(moduleRoot, path.Dir(page), linked))
		if err != nil {
			return true
		}
		text = fencedBlock.ReplaceAllString(string(content), "")
	}
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		words := notInAnchors.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(words, " ", "-") == anchor {
			return true
		}
	}
	return false
}

// pathExists reports whether a path from the root is a file, a directory or, after the
// package's path and a dot, a declaration.
func (c *pageChecker) pathExists(name string) bool {
	if _, err := os.Stat(filepath.Join(moduleRoot, name)); err == nil {
		return true
	}
	directory, last := path.Split(name)
	packageName, declaration, _ := strings.Cut(last, ".")
	s := c.declared.packages[directory+packageName]
	return s != nil && c.declared.declares(s, declaration)
}

// spanProblem says why the text of a code span is no real name, or nothing.
func (c *pageChecker) spanProblem(span string) string {
	event, isEvent := strings.CutPrefix(span, "event: ")
	reason, isReason := strings.CutPrefix(span, "reason: ")
	switch {
	case isEvent:
		if !c.events.all[event] {
			return "no such message is logged"
		}
	case isReason:
		if !c.events.literals[reason] {
			return "no such string is in the sources"
		}
	case repositoryPath.MatchString(span):
		return "" // seen to already
	case goFile.MatchString(span):
		if !c.declared.hasFile(span) {
			return "no Go file's path ends so"
		}
	case testFunction.MatchString(span):
		if !c.declared.declaredAnywhere(span) {
			return "no such test"
		}
	case functionCall.MatchString(span):
		if !c.declared.hasFunction(strings.TrimSuffix(span, "()")) {
			return "no function or method is called so"
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

// dottedProblem says why words joined by dots are no real name, or nothing.
func (c *pageChecker) dottedProblem(name string) string {
	first, rest, _ := strings.Cut(name, ".")
	switch {
	case c.settings[name], slices.Contains(uncheckedExtensions, path.Ext(name)):
		return ""
	case c.declared.hasPackage(first):
		if !c.declared.declaredInPackage(first, rest) {
			return "package " + first + " declares no " + rest
		}
	case c.declared.declaredAnywhere(name), c.declared.externalPackages[first]:
	default:
		return "no package, type or settings key has it"
	}
	return ""
}
