package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/protocol"
)

// rawClient sends requests that are already encoded over one connection, so that a benchmark
// measures the server's cost and little else.
type rawClient struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialRaw(tb testing.TB, addr string) *rawClient {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return &rawClient{conn, bufio.NewReader(conn)}
}

// do sends a request, reads the response and returns its status.
func (c *rawClient) do(tb testing.TB, request []byte) int {
	if _, err := c.conn.Write(request); err != nil {
		tb.Fatal(err)
	}
	status, length := 0, 0
	for {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			tb.Fatal(err)
		}
		if len(line) <= 2 {
			break
		}
		s := string(line)
		if status == 0 {
			fmt.Sscanf(s, "HTTP/1.1 %d", &status)
		} else if rest, ok := strings.CutPrefix(s, "Content-Length: "); ok {
			fmt.Sscan(rest, &length)
		}
	}
	if _, err := c.r.Discard(length); err != nil && err != io.EOF {
		tb.Fatal(err)
	}
	return status
}

func rawRequest(method, path, body string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

// BenchmarkRequests measures the cost of requests: an agent's heartbeat that changes nothing, a
// health check, a status query for a job that has ended, and an invalid submission. The cost
// includes the connection, HTTP, decoding and the event loop.
func BenchmarkRequests(b *testing.B) {
	cfg, _ := startController(b, true, 800)
	eventually(b, "the controller is ready", isReady(b, cfg))
	status, _, _ := call(b, cfg, "POST", protocol.PathJobs, jobBody("run-000001", "vision", 1))
	if status != http.StatusCreated {
		b.Fatal(status)
	}
	call(b, cfg, "POST", protocol.PathJobs+"/run-000001/withdraw", "")
	eventually(b, "the node leads", acceptsHeartbeat(b, cfg, heartbeatBody("i-000001", "t", 1)))
	seq := 1
	for name, request := range map[string]func(i int) []byte{
		"heartbeat": func(i int) []byte {
			return rawRequest("POST", protocol.PathHeartbeat, heartbeatBody("i-000007", "t", i))
		},
		"health check":       func(int) []byte { return rawRequest("GET", protocol.PathReady, "") },
		"status query":       func(int) []byte { return rawRequest("GET", protocol.PathJobs+"/run-000001", "") },
		"invalid submission": func(int) []byte { return rawRequest("POST", protocol.PathJobs, jobBody("run-000009", "vision", 0)[1:]) },
	} {
		b.Run(name, func(b *testing.B) {
			c := dialRaw(b, cfg.Listen)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				c.do(b, request(seq))
			}
		})
	}
}

// TestAllocationsPerRequest checks the number of allocations per request, which does not depend on
// the machine. The number includes those of the client, which formats its requests.
func TestAllocationsPerRequest(t *testing.T) {
	cfg, _ := startController(t, true, 800)
	eventually(t, "the controller is ready", isReady(t, cfg))
	eventually(t, "the node leads", acceptsHeartbeat(t, cfg, heartbeatBody("i-000001", "t", 1)))
	c := dialRaw(t, cfg.Listen)
	seq := 10
	for _, tc := range []struct {
		name           string
		maxAllocations float64
		status         int
		request        func() []byte
	}{
		{"heartbeat that changes nothing", 90, 200, func() []byte { return rawRequest("POST", protocol.PathHeartbeat, heartbeatBody("i-000007", "t", seq)) }},
		{"invalid submission", 60, 400, func() []byte { return rawRequest("POST", protocol.PathJobs, "[]") }},
		{"health check", 45, 200, func() []byte { return rawRequest("GET", protocol.PathReady, "") }},
	} {
		n := testing.AllocsPerRun(200, func() {
			seq++
			if got := c.do(t, tc.request()); got != tc.status {
				t.Fatalf("%s: status %d", tc.name, got)
			}
		})
		t.Logf("%s: %.0f allocations", tc.name, n)
		if n > tc.maxAllocations {
			t.Errorf("%s: %.0f allocations, want at most %.0f", tc.name, n, tc.maxAllocations)
		}
	}
}
