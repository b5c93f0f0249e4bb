package transport

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/tuning"
)

// TestOversizedResponseIsReportedAsTooLarge: an answer beyond the bound is told from one that was lost. A watch
// with more changes than that once came back cut short, was taken for a lost answer and
// opened again for ever.
func TestOversizedResponseIsReportedAsTooLarge(t *testing.T) {
	chunk := bytes.Repeat([]byte("x"), 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range tuning.MaxResponseBytes/len(chunk) + 1 {
			w.Write(chunk)
		}
	}))
	defer server.Close()
	cfg := &config.Config{Endpoints: config.Endpoints{State: server.Listener.Addr().String()}}
	answers := make(chan coordination.Event, 1)
	newClients(cfg, answers).call(context.Background(), coordination.Request{ID: 1, To: coordination.ToStore, Method: "GET", Path: "/watch", Timeout: time.Minute})
	if r := (<-answers).(coordination.Response); r.Status != http.StatusRequestEntityTooLarge || r.Body != nil {
		t.Errorf("status %d, %d bytes", r.Status, len(r.Body))
	}
}
