package transport

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/coordination/reconcile"
	"github.com/gappond/gappond/internal/golden"
	"github.com/gappond/gappond/internal/protocol"
)

// TestMetricNames: every metric's name, type and labels, with all values that labels have,
// are exposed as the golden list has them.
func TestMetricNames(t *testing.T) {
	m := newMetrics()
	now := time.Unix(1_800_000_000, 0)
	m.recovery.update(reconcile.Summary{Began: now}, now) // the only labels but a histogram's
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
	golden.CompareLines(t, "testdata/metrics.txt", list)
}
