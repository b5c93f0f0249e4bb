// Package architecture contains tests of the module's structure and documentation. They check
// which packages each package may import, and that the files, packages and identifiers that the
// documentation names exist. The package has no code outside its tests.
package architecture
