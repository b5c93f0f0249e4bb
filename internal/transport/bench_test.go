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

// rawClient sends ready-made requests over one connection: what a benchmark
// counts is then the server's cost and little else.
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

// do sends a request and reads the answer, whose status it returns.
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

// BenchmarkRequests is what the answers cost, connection, HTTP, decoding and owner
// included: a worker's report that changes nothing, a health probe, a question
// about a job that is over, and a submission that is refused.
func BenchmarkRequests(b *testing.B) {
	cfg, _ := startController(b, true, 800)
	eventually(b, "ready", isReady(b, cfg))
	status, _, _ := call(b, cfg, "POST", protocol.PathJobs, jobBody("run-000001", "vision", 1))
	if status != http.StatusCreated {
		b.Fatal(status)
	}
	call(b, cfg, "POST", protocol.PathJobs+"/run-000001/withdraw", "")
	eventually(b, "leads", acceptsHeartbeat(b, cfg, heartbeatBody("i-000001", "t", 1)))
	seq := 1
	for name, request := range map[string]func(i int) []byte{
		"report": func(i int) []byte {
			return rawRequest("POST", protocol.PathHeartbeat, heartbeatBody("i-000007", "t", i))
		},
		"ready":   func(int) []byte { return rawRequest("GET", protocol.PathReady, "") },
		"poll":    func(int) []byte { return rawRequest("GET", protocol.PathJobs+"/run-000001", "") },
		"refused": func(int) []byte { return rawRequest("POST", protocol.PathJobs, jobBody("run-000009", "vision", 0)[1:]) },
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

// TestAllocationsPerRequest bounds what a request costs in allocations, on any machine:
// those of the client, which formats its requests, included.
func TestAllocationsPerRequest(t *testing.T) {
	cfg, _ := startController(t, true, 800)
	eventually(t, "ready", isReady(t, cfg))
	eventually(t, "leads", acceptsHeartbeat(t, cfg, heartbeatBody("i-000001", "t", 1)))
	c := dialRaw(t, cfg.Listen)
	seq := 10
	for _, k := range []struct {
		name   string
		most   float64
		status int
		what   func() []byte
	}{
		{"unchanged report", 90, 200, func() []byte { return rawRequest("POST", protocol.PathHeartbeat, heartbeatBody("i-000007", "t", seq)) }},
		{"refused submission", 60, 400, func() []byte { return rawRequest("POST", protocol.PathJobs, "[]") }},
		{"health probe", 45, 200, func() []byte { return rawRequest("GET", protocol.PathReady, "") }},
	} {
		n := testing.AllocsPerRun(200, func() {
			seq++
			if got := c.do(t, k.what()); got != k.status {
				t.Fatalf("%s: %d", k.name, got)
			}
		})
		t.Logf("%s: %.0f allocations", k.name, n)
		if n > k.most {
			t.Errorf("%s: %.0f allocations, at most %.0f", k.name, n, k.most)
		}
	}
}
