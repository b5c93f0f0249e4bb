package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// runbookPages are the operators' pages. At least one of them must name each event that is
// logged above level debug.
var runbookPages = []string{"docs/operations.md", "docs/recovery.md"}

// logMethods gives for each logging method the index of the message argument, and whether its
// level is logged by default. isDeclared is true in every entry, to distinguish it from the zero
// value that a look-up of another method returns.
var logMethods = map[string]struct {
	message    int
	byDefault  bool
	isDeclared bool
}{
	"Debug": {0, false, true}, "Info": {0, true, true}, "Warn": {0, true, true}, "Error": {0, true, true},
	"DebugContext": {1, false, true}, "InfoContext": {1, true, true}, "WarnContext": {1, true, true}, "ErrorContext": {1, true, true},
}

// loggedEvents contains the messages that the non-test sources log.
type loggedEvents struct {
	all       map[string]bool // every message
	byDefault map[string]bool // those logged above level debug
	literals  map[string]bool // every string literal, including the values of log attributes
}

// loggingFunction describes a function that logs one of its parameters as the message.
type loggingFunction struct {
	parameter int
	byDefault bool
}

// eventReader collects loggedEvents from parsed files.
type eventReader struct {
	files     []*ast.File
	constants map[string]string          // string constants by name
	functions map[string]loggingFunction // by name, for methods without the type
	events    loggedEvents
}

// readEvents returns the messages that the module's non-test files log. A message is a literal or
// a constant that is passed to a method in logMethods, or to a function that passes it on as the
// message.
func readEvents(t *testing.T) loggedEvents {
	t.Helper()
	r := &eventReader{
		constants: map[string]string{}, functions: map[string]loggingFunction{},
		events: loggedEvents{all: map[string]bool{}, byDefault: map[string]bool{}, literals: map[string]bool{}},
	}
	for _, file := range goFiles(t) {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(moduleRoot, file), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		r.files = append(r.files, parsed)
	}
	r.readAll()
	return r.events
}

// readAll first collects the constants and literals of all files, then the functions that log a
// parameter, directly or through another such function, and last the messages.
func (r *eventReader) readAll() {
	r.inspect(r.addConstants)
	for known := -1; known < len(r.functions); { // until no further logging function is found
		known = len(r.functions)
		r.addLoggingFunctions()
	}
	r.inspect(r.addEvent)
}

func (r *eventReader) addLoggingFunctions() {
	for _, file := range r.files {
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Body != nil {
				r.addLoggingFunction(function)
			}
		}
	}
}

func (r *eventReader) inspect(visit func(ast.Node)) {
	for _, file := range r.files {
		ast.Inspect(file, func(node ast.Node) bool {
			visit(node)
			return true
		})
	}
}

// addConstants adds all string literals, and by name the constants and variables that are
// initialised with one.
func (r *eventReader) addConstants(node ast.Node) {
	switch node := node.(type) {
	case *ast.BasicLit:
		if text, ok := literalText(node); ok {
			r.events.literals[text] = true
		}
	case *ast.ValueSpec:
		for i, value := range node.Values {
			if text, ok := literalText(value); ok && i < len(node.Names) {
				r.constants[node.Names[i].Name] = text
			}
		}
	}
}

// addLoggingFunction adds the function if it logs one of its parameters as the message.
func (r *eventReader) addLoggingFunction(function *ast.FuncDecl) {
	parameters := parameterNames(function)
	ast.Inspect(function.Body, func(node ast.Node) bool {
		message, byDefault, ok := loggedMessage(node)
		if !ok {
			message, byDefault, ok = r.forwardedMessage(node)
		}
		if ok {
			if name, isName := message.(*ast.Ident); isName {
				if i := slices.Index(parameters, name.Name); i >= 0 {
					r.functions[function.Name.Name] = loggingFunction{i, byDefault}
				}
			}
		}
		return true
	})
}

// addEvent adds the message if the node is a call that logs one.
func (r *eventReader) addEvent(node ast.Node) {
	message, byDefault, ok := loggedMessage(node)
	if !ok {
		message, byDefault, ok = r.forwardedMessage(node)
	}
	if !ok {
		return
	}
	if text, known := r.text(message); known {
		r.events.all[text] = true
		if byDefault {
			r.events.byDefault[text] = true
		}
	}
}

// loggedMessage returns the message argument if the node is a call of a logging method.
func loggedMessage(node ast.Node) (message ast.Expr, byDefault, ok bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall {
		return nil, false, false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !isLogger(method.X) {
		return nil, false, false
	}
	level := logMethods[method.Sel.Name]
	if !level.isDeclared || len(call.Args) <= level.message {
		return nil, false, false
	}
	return call.Args[level.message], level.byDefault, true
}

// isLogger reports whether an expression is a logger or package slog, judging by its last
// identifier only.
func isLogger(expression ast.Expr) bool {
	switch name := typeName(expression); name {
	case "slog":
		return true
	default:
		return strings.HasSuffix(strings.ToLower(name), "log") || strings.HasSuffix(strings.ToLower(name), "logger")
	}
}

// forwardedMessage returns the message argument if the node is a call of a function that logs
// one of its parameters.
func (r *eventReader) forwardedMessage(node ast.Node) (message ast.Expr, byDefault, ok bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall {
		return nil, false, false
	}
	function, known := r.functions[typeName(call.Fun)]
	if !known || len(call.Args) <= function.parameter {
		return nil, false, false
	}
	return call.Args[function.parameter], function.byDefault, true
}

// text returns the value of an expression that is a string literal or a known constant.
func (r *eventReader) text(expression ast.Expr) (string, bool) {
	if text, ok := literalText(expression); ok {
		return text, true
	}
	text, ok := r.constants[typeName(expression)]
	return text, ok
}

// literalText returns the value of a string literal.
func literalText(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// parameterNames returns the names of a function's parameters, in order.
func parameterNames(function *ast.FuncDecl) []string {
	var names []string
	for _, field := range function.Type.Params.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// pageEvent matches an event named on a page: `event: text`.
var pageEvent = regexp.MustCompile("`event: ([^`\n]+)`")

// TestRunbookNamesEveryEvent checks that a runbook names every event that is logged by default, so
// that an on-call engineer can look it up. TestNamesOnPagesExist checks the reverse: that the
// sources log every event that a page names.
func TestRunbookNamesEveryEvent(t *testing.T) {
	text := runbookText(t)
	named := map[string]bool{}
	for _, match := range pageEvent.FindAllStringSubmatch(text, -1) {
		named[match[1]] = true
	}
	events := readEvents(t)
	if len(events.byDefault) == 0 {
		t.Fatal("found no logged event in the sources")
	}
	for event := range events.byDefault {
		if !named[event] {
			t.Errorf("%q is logged, but no page of %q names it as `event: %s`", event, runbookPages, event)
		}
	}
}

// TestRunbookNamesEveryMetric checks that the operators' pages name every metric in the sources.
func TestRunbookNamesEveryMetric(t *testing.T) {
	named := map[string]bool{}
	for _, match := range codeSpan.FindAllStringSubmatch(runbookText(t), -1) {
		if metric := metricName.FindStringSubmatch(match[1]); metric != nil {
			named[metric[1]] = true
		}
	}
	metrics := readDeclarations(t).metrics
	if len(metrics) == 0 {
		t.Fatal("found no metric in the sources")
	}
	for metric := range metrics {
		if !named[metric] {
			t.Errorf("%s is in the sources, but no page of %q names it", metric, runbookPages)
		}
	}
}

// runbookText returns the text of all runbookPages.
func runbookText(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, page := range runbookPages {
		text, err := os.ReadFile(filepath.Join(moduleRoot, page))
		if err != nil {
			t.Fatal(err)
		}
		all.Write(text)
	}
	return all.String()
}

// TestLoggedMessages checks which strings of a source file count as events. The file has a logging
// call of each kind.
func TestLoggedMessages(t *testing.T) {
	const source = `package p
const named = "by a constant"
func (a *a) f() {
	a.log.Info("by a literal", "key", "a value")
	log.Debug("only for debugging")
	slog.Error(named)
	a.logger.InfoContext(ctx, "with a context")
	a.once("forwarded", 1)
	a.errors.Error("not by a logger")
	a.twice("forwarded twice")
}
func (a *a) twice(text string) { a.once(text, 2) }
func (a *a) once(text string, n int) { a.log.Warn(text) }
`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	r := &eventReader{
		files: []*ast.File{file}, constants: map[string]string{}, functions: map[string]loggingFunction{},
		events: loggedEvents{all: map[string]bool{}, byDefault: map[string]bool{}, literals: map[string]bool{}},
	}
	r.readAll()
	for event, byDefault := range map[string]bool{
		"by a constant": true, "by a literal": true, "with a context": true, "forwarded": true, "forwarded twice": true,
		"only for debugging": false,
	} {
		if !r.events.all[event] || r.events.byDefault[event] != byDefault {
			t.Errorf("%q: logged %v, by default %v", event, r.events.all[event], r.events.byDefault[event])
		}
	}
	for _, text := range []string{"a value", "not by a logger", "key"} {
		if r.events.all[text] {
			t.Errorf("%q counts as an event", text)
		}
	}
}
