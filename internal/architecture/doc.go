// Package architecture holds the tests that keep the structure of the module and the
// pages about it true: which package may import which, and whether the files, packages
// and identifiers that a page names exist. It has no code outside its tests.
package architecture
