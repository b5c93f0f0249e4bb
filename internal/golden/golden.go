// Package golden compares what a test finds with a golden file, which lies in testdata beside
// the test and is written anew by the tests' flag -update.
//
// It is for test files alone. The flag belongs to the test binary of each package whose tests
// import this one.
package golden

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Updating says whether the golden files are to be written anew.
func Updating() bool { return *update }

// Read returns the text of a golden file. One that cannot be read ends the test, unless the
// golden files are being written anew: it is then "".
func Read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil && !*update {
		t.Fatal(err)
	}
	return string(text)
}

// Write writes a golden file anew.
func Write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Error(err)
	}
}

// CompareLines compares lines, in order of the alphabet, with those of a golden file. With
// -update it writes them there first.
func CompareLines(t *testing.T, file string, lines []string) {
	t.Helper()
	got := strings.Join(slices.Sorted(slices.Values(lines)), "\n") + "\n"
	if *update {
		Write(t, file, got)
	}
	if diff := cmp.Diff(Read(t, file), got); diff != "" {
		t.Errorf("differs from %s (-golden +found):\n%s", file, diff)
	}
}
