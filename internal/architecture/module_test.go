package architecture

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	modulePath = "github.com/gappond/gappond"
	moduleRoot = "../.."
)

// sourceDirectories are the directories that contain the module's Go files.
var sourceDirectories = []string{"cmd", "internal"}

// goFiles returns the paths of the module's Go files, including test files, relative to the root.
func goFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	root := os.DirFS(moduleRoot)
	for _, directory := range sourceDirectories {
		err := fs.WalkDir(root, directory, func(name string, entry fs.DirEntry, err error) error {
			if err == nil && entry.IsDir() && entry.Name() == "testdata" {
				return fs.SkipDir
			}
			if err == nil && !entry.IsDir() && strings.HasSuffix(name, ".go") {
				files = append(files, name)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// TestNoGoFilesOutsideSourceDirectories checks that there are no Go files in the root, nor in the
// directories directly below it other than sourceDirectories and hidden ones. The tests of this
// package would not read such files.
func TestNoGoFilesOutsideSourceDirectories(t *testing.T) {
	entries, err := os.ReadDir(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !entry.IsDir() || strings.HasPrefix(entry.Name(), ".") || slices.Contains(sourceDirectories, entry.Name()) {
			continue
		}
		if files, err := filepath.Glob(filepath.Join(moduleRoot, entry.Name(), "*.go")); err != nil || len(files) > 0 {
			t.Errorf("%v, %v: add %s to sourceDirectories", files, err, entry.Name())
		}
	}
	if files, err := filepath.Glob(filepath.Join(moduleRoot, "*.go")); err != nil || len(files) > 0 {
		t.Errorf("%v, %v: no package is expected at the root", files, err)
	}
}
