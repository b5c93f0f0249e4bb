package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// declarations contains what the module's packages declare, including in test files.
type declarations struct {
	files            []string                        // paths of the Go files, relative to the root
	packages         map[string]*packageScope        // by path relative to the root
	externalPackages map[string]bool                 // base names of imported packages of other modules
	embedded         map[*packageScope]embeddedTypes // to find members that come from an embedded type
	metrics          map[string]bool                 // metric names: string literals in non-test files
}

// packageScope contains what one package declares: "Name" for a constant, variable, function or
// type, and "Type.Member" for a field or method.
type packageScope struct {
	name      string
	names     map[string]bool
	functions map[string]bool // functions, and methods without their type
}

// embeddedTypes maps each type to the types that it embeds.
type embeddedTypes map[string][]string

// readDeclarations parses all packages of the module.
func readDeclarations(t *testing.T) *declarations {
	t.Helper()
	d := &declarations{
		files: goFiles(t), packages: map[string]*packageScope{}, externalPackages: map[string]bool{}, embedded: map[*packageScope]embeddedTypes{},
		metrics: map[string]bool{},
	}
	for _, file := range d.files {
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(moduleRoot, file), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		directory := path.Dir(file)
		s := d.packages[directory]
		if s == nil {
			s = &packageScope{name: path.Base(directory), names: map[string]bool{}, functions: map[string]bool{}}
			d.packages[directory], d.embedded[s] = s, embeddedTypes{}
		}
		for _, spec := range parsed.Imports {
			if imported, err := strconv.Unquote(spec.Path.Value); err == nil && !strings.HasPrefix(imported, modulePath) {
				d.externalPackages[path.Base(imported)] = true
			}
		}
		for _, declaration := range parsed.Decls {
			d.addDeclaration(s, declaration)
		}
		if !strings.HasSuffix(file, "_test.go") {
			ast.Inspect(parsed, d.addMetric)
		}
	}
	return d
}

// metricPrefix is the prefix of every metric name.
const metricPrefix = "gappond_"

// addMetric adds the value of a string literal that begins with metricPrefix.
func (d *declarations) addMetric(node ast.Node) bool {
	if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
		if name, err := strconv.Unquote(literal.Value); err == nil && strings.HasPrefix(name, metricPrefix) {
			d.metrics[name] = true
		}
	}
	return true
}

// addDeclaration adds the names that a top-level declaration declares.
func (d *declarations) addDeclaration(s *packageScope, declaration ast.Decl) {
	switch declared := declaration.(type) {
	case *ast.FuncDecl:
		name := declared.Name.Name
		s.functions[name] = true
		if declared.Recv != nil {
			name = typeName(declared.Recv.List[0].Type) + "." + name
		}
		s.names[name] = true
	case *ast.GenDecl:
		for _, spec := range declared.Specs {
			switch spec := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range spec.Names {
					s.names[name.Name] = true
				}
			case *ast.TypeSpec:
				s.names[spec.Name.Name] = true
				d.addMembers(s, spec)
			}
		}
	}
}

// addMembers adds a struct's fields or an interface's methods, and the types that it embeds.
func (d *declarations) addMembers(s *packageScope, spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch declared := spec.Type.(type) {
	case *ast.StructType:
		fields = declared.Fields
	case *ast.InterfaceType:
		fields = declared.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			s.names[spec.Name.Name+"."+name.Name] = true
		}
		if len(field.Names) == 0 {
			embedded := typeName(field.Type)
			s.names[spec.Name.Name+"."+embedded] = true
			d.embedded[s][spec.Name.Name] = append(d.embedded[s][spec.Name.Name], embedded)
		}
	}
}

// typeName returns the name of a type without its package, pointer and type arguments. For other
// expressions, such as a.log, it returns the last identifier, or "" if there is none.
func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.IndexListExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}

// declares reports whether a package declares name, which is "Name" or "Type.Member". A member
// may come from an embedded type of the same package.
func (d *declarations) declares(s *packageScope, name string) bool {
	if s.names[name] {
		return true
	}
	owner, member, isMember := strings.Cut(name, ".")
	if !isMember {
		return false
	}
	for _, embedded := range d.embedded[s][owner] {
		if embedded != owner && d.declares(s, embedded+"."+member) {
			return true
		}
	}
	return false
}

// hasPackage reports whether the module has a package of that name.
func (d *declarations) hasPackage(name string) bool {
	for _, s := range d.packages {
		if s.name == name {
			return true
		}
	}
	return false
}

// declaredInPackage reports whether any package called packageName declares the name.
func (d *declarations) declaredInPackage(packageName, name string) bool {
	for _, s := range d.packages {
		if s.name == packageName && d.declares(s, name) {
			return true
		}
	}
	return false
}

// declaredAnywhere reports whether any package declares the name.
func (d *declarations) declaredAnywhere(name string) bool {
	for _, s := range d.packages {
		if d.declares(s, name) {
			return true
		}
	}
	return false
}

// hasFile reports whether the path of a Go file is the name, or ends with a slash and the name.
func (d *declarations) hasFile(name string) bool {
	for _, file := range d.files {
		if file == name || strings.HasSuffix(file, "/"+name) {
			return true
		}
	}
	return false
}

// hasFunction reports whether any package declares a function or method of that name.
func (d *declarations) hasFunction(name string) bool {
	for _, s := range d.packages {
		if s.functions[name] {
			return true
		}
	}
	return false
}
