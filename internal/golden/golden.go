// Package golden compares the output of a test with a golden file in the testdata directory next
// to the test. The test flag -update rewrites the golden files.
//
// Only test files may import this package. Importing it adds the flag to the package's test binary.
package golden

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Updating reports whether the flag -update is set.
func Updating() bool { return *update }

// Read returns the text of a golden file. If the file cannot be read, the test fails and ends at
// once, but with -update Read returns "" instead.
func Read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil && !*update {
		t.Fatal(err)
	}
	return string(text)
}

// Write replaces a golden file.
func Write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Error(err)
	}
}

// CompareLines sorts lines and compares them with those of a golden file. With -update it first
// rewrites the file.
func CompareLines(t *testing.T, file string, lines []string) {
	t.Helper()
	got := strings.Join(slices.Sorted(slices.Values(lines)), "\n") + "\n"
	if *update {
		Write(t, file, got)
	}
	if diff := cmp.Diff(Read(t, file), got); diff != "" {
		t.Errorf("lines differ from %s (-golden +got):\n%s", file, diff)
	}
}
