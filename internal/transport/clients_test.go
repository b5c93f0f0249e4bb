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

// TestOversizedResponseIsReportedAsTooLarge checks that a response beyond the size limit is not
// reported as a missing one. Otherwise a watch with more changes than fit would be cut off, taken
// for a lost response and opened again, without end.
func TestOversizedResponseIsReportedAsTooLarge(t *testing.T) {
	chunk := bytes.Repeat([]byte("x"), 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range tuning.MaxResponseBytes/len(chunk) + 1 {
			w.Write(chunk)
		}
	}))
	defer server.Close()
	cfg := &config.Config{Endpoints: config.Endpoints{State: server.Listener.Addr().String()}}
	responses := make(chan coordination.Event, 1)
	newClients(cfg, responses).call(context.Background(), coordination.Request{ID: 1, To: coordination.ToStore, Method: "GET", Path: "/watch", Timeout: time.Minute})
	if r := (<-responses).(coordination.Response); r.Status != http.StatusRequestEntityTooLarge || r.Body != nil {
		t.Errorf("status %d, %d bytes", r.Status, len(r.Body))
	}
}
