package transport

import (
	"flag"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestMetricNames: every metric's name, type and labels, with all values that labels have,
// are exposed as the golden list has them.
func TestMetricNames(t *testing.T) {
	m := newMetrics()
	now := time.Unix(1_800_000_000, 0)
	m.recovery.take(reconcile.Summary{Began: now}, now) // the only labels but a histogram's
	answer := httptest.NewRecorder()
	m.handler().ServeHTTP(answer, httptest.NewRequest("GET", protocol.PathMetrics, nil))
	var list []string
	for line := range strings.Lines(answer.Body.String()) {
		line = strings.TrimSpace(line)
		if about, ok := strings.CutPrefix(line, "# TYPE "); ok {
			list = append(list, "metric "+about)
		} else if !strings.HasPrefix(line, "#") {
			list = append(list, "series "+line[:strings.LastIndex(line, " ")])
		}
	}
	slices.Sort(list)
	got := strings.Join(list, "\n") + "\n"
	const file = "testdata/metrics.txt"
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Error(d)
	}
}
