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

// TestMetricNames checks that every metric's name, type and labels, with all values of the labels,
// are exposed as in the golden list.
func TestMetricNames(t *testing.T) {
	m := newMetrics()
	now := time.Unix(1_800_000_000, 0)
	m.recovery.update(reconcile.Summary{Began: now}, now) // sets all labels except those of histograms
	response := httptest.NewRecorder()
	m.handler().ServeHTTP(response, httptest.NewRequest("GET", protocol.PathMetrics, nil))
	var exposed []string
	for line := range strings.Lines(response.Body.String()) {
		line = strings.TrimSpace(line)
		if nameAndType, ok := strings.CutPrefix(line, "# TYPE "); ok {
			exposed = append(exposed, "metric "+nameAndType)
		} else if !strings.HasPrefix(line, "#") {
			exposed = append(exposed, "series "+line[:strings.LastIndex(line, " ")])
		}
	}
	golden.CompareLines(t, "testdata/metrics.txt", exposed)
}
