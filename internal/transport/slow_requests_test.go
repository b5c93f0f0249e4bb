package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// requestHead is the head of a submission that announces 100 bytes.
const requestHead = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"

// incompleteRequests are what a client sends on a connection before it waits, or sends on one byte at a
// time, without ever completing a request.
var incompleteRequests = []struct {
	name, sent string
	bytewise   bool // continues with a byte every tenth of a second
}{
	{"nothing", "", false},
	{"half a head", "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Le", false},
	{"a head byte by byte", "GET /ready HTTP/1.1\r\nX: ", true},
	{"half a body", requestHead + `{"uid":"run-`, false},
	{"a body byte by byte", requestHead + `{"uid":"`, true},
	{"half a heartbeat", strings.Replace(requestHead, "/v2/runs", "/checkin", 1) + `{"berth":"i-`, false},
	{"an endless chunk", "POST /v2/runs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n{", true},
	{"a body for no path", strings.Replace(requestHead, "/v2/runs", "/nothing", 1), false},
}

// malformedRequests are refused with a status from 400 on, or by the end of the connection.
var malformedRequests = []struct{ name, sent string }{
	{"no HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n"},
	{"a frame of a peer", string(protocol.AppendPeerFrame(nil, protocol.PeerHello{Node: "n1"})) + "\r\n\r\n"},
	{"a negative length", strings.Replace(requestHead, "100", "-1", 1)},
	{"two lengths", "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{"},
	{"a length that is no number", strings.Replace(requestHead, "100", "1e2", 1)},
	{"a head of 64 KiB", "GET /ready HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"},
	{"a body of 1 MiB", strings.Replace(requestHead, "100", fmt.Sprint(1<<20), 1) + strings.Repeat(" ", 1<<20)},
	{"chunks that are none", "POST /v2/runs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
	{"deep nesting", fmt.Sprintf("POST /checkin HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", 60_000, strings.Repeat("[", 60_000))},
}

// maxSenderTime is the time after which a client that sends no complete request has been disconnected.
const maxSenderTime = tuning.RequestReadTimeout + 2*time.Second

// TestMalformedRequestsEndNothing guards against a request that ends the controller, or a client that
// gets neither an error nor the end of the connection.
func TestMalformedRequestsEndNothing(t *testing.T) {
	cfg, _ := startController(t, true, 0)
	eventually(t, "the controller is ready", isReady(t, cfg))
	for _, address := range []string{cfg.Listen, cfg.PeerListen} {
		for _, request := range malformedRequests {
			response, err := exchange(address, request.sent, maxSenderTime)
			if isTimeout(err) {
				t.Errorf("%s: the connection is still open", request.name)
			}
			if len(response) > 0 && !strings.HasPrefix(response, "HTTP/1.1 4") {
				t.Errorf("%s: response %.60q", request.name, response)
			}
		}
	}
	if !isReady(t, cfg)() {
		t.Error("the controller is no longer ready")
	}
}

// exchange sends bytes on a new connection and returns what arrives until the connection ends.
func exchange(address, sent string, limit time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	go io.WriteString(conn, sent)
	response, err := io.ReadAll(conn)
	return string(response), err
}

// hold opens connections from an address, one after the other, until the context ends, and leaves a request on each
// incomplete until the controller closes it.
func hold(ctx context.Context, t *testing.T, from net.IP, address, sent string, bytewise bool) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: from}}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		opened := time.Now()
		end := context.AfterFunc(ctx, func() { conn.Close() })
		io.WriteString(conn, sent)
		ended := make(chan struct{})
		go func() {
			io.Copy(io.Discard, conn)
			close(ended)
		}()
		for open := true; open; {
			select {
			case <-ended:
				open = false
			case <-time.After(100 * time.Millisecond):
				if bytewise {
					io.WriteString(conn, "x")
				}
			}
		}
		if open := time.Since(opened); open > maxSenderTime+time.Second && ctx.Err() == nil {
			t.Errorf("a client was connected for %v with %.30q", open, sent)
		}
		end()
		conn.Close()
	}
}

// floodTime is how long incomplete requests take all connections: longer than two of them.
const floodTime = 2*tuning.RequestReadTimeout + 2*time.Second

// TestIncompleteRequestsBlockNobody guards against clients that hold all connections with requests that
// they do not complete: users, agents and the load balancer are served within their time-outs, the
// leader goes on leading, and memory stays bounded.
func TestIncompleteRequestsBlockNobody(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 12 s of real time")
	}
	const sockets, clients = 200, 400
	cfg, _ := startController(t, true, sockets)
	eventually(t, "the controller is ready", isReady(t, cfg))
	eventually(t, "the controller leads", acceptsHeartbeat(t, cfg, heartbeatBody("i-000001", "t", 1)))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)

	ctx, stop := context.WithTimeout(context.Background(), floodTime)
	defer stop()
	var running sync.WaitGroup
	for i := range clients {
		request := incompleteRequests[i%len(incompleteRequests)]
		from := net.IPv4(127, 0, 0, 1) // every second client, and the others from one address each
		if i%2 == 1 {
			from = net.IPv4(127, 0, byte(1+i/200), byte(1+i%200))
		}
		running.Go(func() { hold(ctx, t, from, cfg.Listen, request.sent, request.bytewise) })
	}
	sleep(ctx, time.Second)
	sequence := 1
	for ctx.Err() == nil {
		for _, served := range []struct {
			method, path, body string
			within             time.Duration
			want               int
		}{
			{"GET", protocol.PathReady, "", time.Second, 200},
			{"GET", "/v2/runs/run-000007", "", 2 * time.Second, 404},
			{"POST", protocol.PathJobs, jobBody("run-000001", "nobody", 1), 5 * time.Second, 422},
			{"POST", protocol.PathHeartbeat, heartbeatBody("i-000001", "t", sequence+1), 4 * time.Second, 200},
		} {
			if status := callOnNewConnection(cfg, served.method, served.path, served.body, served.within); status != served.want {
				t.Errorf("%s %s: status %d within %v, want %d", served.method, served.path, status, served.within, served.want)
			}
		}
		sequence++
		sleep(ctx, 500*time.Millisecond)
	}
	runtime.ReadMemStats(&after)
	running.Wait()
	const maxBytesPerSocket = 64 << 10
	if grown := int64(after.HeapInuse+after.StackInuse) - int64(before.HeapInuse+before.StackInuse); grown > sockets*maxBytesPerSocket+clients*maxBytesPerSocket {
		t.Errorf("memory grew by %d bytes", grown)
	}
	if sequence < 5 {
		t.Errorf("only %d rounds of requests", sequence)
	}
}

// callOnNewConnection makes a request on a connection of its own and returns the status, or 0 if there
// is no response in time.
func callOnNewConnection(cfg *config.Config, method, path, body string, within time.Duration) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: within}
	req, err := http.NewRequest(method, "http://"+cfg.Listen+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestSilentConnectionsToPeerPortBlockNoPeer guards against clients that hold connections at the port
// for controllers: they must not use up the process's sockets or memory, and a peer still gets a link.
func TestSilentConnectionsToPeerPortBlockNoPeer(t *testing.T) {
	const sockets, clients = 200, 300
	cfg, _ := startController(t, true, sockets)
	eventually(t, "the controller is ready", isReady(t, cfg))
	largest := protocol.AppendPeerFrame(nil, protocol.PeerHello{Node: "n1"})
	largest[5] = 0x03 // announces 192 KiB
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for range clients {
		conn, err := net.Dial("tcp", cfg.PeerListen)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(largest)
		conns = append(conns, conn)
	}
	open := func() (n int) {
		for _, conn := range conns {
			conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := conn.Read(make([]byte, 1)); isTimeout(err) {
				n++
			}
		}
		return n
	}
	deadline := time.Now().Add(3 * time.Second)
	for open() > tuning.MaxUnidentifiedLinks && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	if n := open(); n > tuning.MaxUnidentifiedLinks {
		t.Errorf("%d connections without a name are open, want at most %d", n, tuning.MaxUnidentifiedLinks)
	}
	peer, err := net.Dial("tcp", cfg.PeerListen)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	hello := protocol.AppendPeerFrame(nil, protocol.PeerHello{Node: "n1"})
	peer.Write(append(bytes.Clone(hello), protocol.AppendPeerFrame(nil, protocol.PeerStatus{})...))
	peer.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := peer.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("the link of a peer was closed: %v", err)
	}
	if !isReady(t, cfg)() {
		t.Error("the controller is no longer ready")
	}
}

// oddValues replace the values of members in sound bodies.
var oddValues = []string{"null", "-1", "0", "1e308", "18446744073709551615", "0.5", "true", `""`, `" "`, `"/"`, `"run-000001/99999999999999999999"`,
	`"i-\u0000"`, `"\ud800"`, "[]", "{}", "[[]]", `[{"piece":"run-000001/0","try":18446744073709551615,"phase":"running"},{"piece":"run-000001/0","try":1,"phase":"exited","cause":"done"}]`,
	`[{"piece":"run-000001/1","try":0,"phase":"exited"},{"piece":"/","try":1},{"piece":"run-9/99999","try":9,"phase":"waiting"}]`, `"` + strings.Repeat("x", 300) + `"`}

// oddBody returns a body in which the values of one to three members are replaced.
func oddBody(rng *rand.Rand, sound string) string {
	var members map[string]json.RawMessage
	if err := json.Unmarshal([]byte(sound), &members); err != nil {
		panic(err)
	}
	names := slices.Sorted(maps.Keys(members))
	for range 1 + rng.IntN(3) {
		members[names[rng.IntN(len(names))]] = json.RawMessage(oddValues[rng.IntN(len(oddValues))])
	}
	body, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	return string(body)
}

// TestOddBodiesEndNothing guards against a body that ends the controller that leads, or that gets no
// response: heartbeats, submissions, queries and cancellations with members of any value.
func TestOddBodiesEndNothing(t *testing.T) {
	cfg, _ := startController(t, true, 0)
	eventually(t, "the controller is ready", isReady(t, cfg))
	eventually(t, "the controller leads", acceptsHeartbeat(t, cfg, heartbeatBody("i-000001", "t", 1)))
	rng := rand.New(rand.NewPCG(1, 4))
	for i := range 2000 {
		for _, request := range []struct{ path, body string }{
			{protocol.PathHeartbeat, oddBody(rng, heartbeatBody("i-000002", "t", i+1))},
			{protocol.PathJobs, oddBody(rng, jobBody(fmt.Sprintf("run-%06d", rng.IntN(50)), "vision", 1))},
		} {
			if status, body, _ := call(t, cfg, "POST", request.path, request.body); status == 0 || status == 500 {
				t.Fatalf("status %d %s to %s", status, body, request.body)
			}
		}
	}
	// A machine that is new to it: by now it has deleted i-000001, which is idle.
	eventually(t, "the controller still leads", acceptsHeartbeat(t, cfg, heartbeatBody("i-000003", "t", 1)))
}

// TestSoundRequestsInOtherForms guards against a sound request that is refused because of the form in
// which HTTP carries it.
func TestSoundRequestsInOtherForms(t *testing.T) {
	cfg, _ := startController(t, true, 0)
	eventually(t, "the controller is ready", isReady(t, cfg))
	body := jobBody("run-000001", "vision", 1)
	chunked := "POST /v2/runs HTTP/1.1\r\nhost: x\r\ntransfer-encoding: CHUNKED\r\nConnection: close\r\n\r\n"
	for i := 0; i < len(body); i += 7 {
		chunk := body[i:min(i+7, len(body))]
		chunked += fmt.Sprintf("%x;extension=1\r\n%s\r\n", len(chunk), chunk)
	}
	length := fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", len(body))
	for _, request := range []struct{ name, sent, want string }{
		{"chunks", chunked + "0\r\nTrailer: x\r\n\r\n", "201"},
		{"a head in pieces of another order and case", "POST /v2/runs HTTP/1.1\r\nX-Unknown: a, b\r\ncontent-type: text/plain\r\nHOST: x\r\n" + length + body, "200"},
		{"a query in the path", "POST /v2/runs?x=1 HTTP/1.1\r\nHost: x\r\n" + length + body, "200"},
		{"the address in the path", "POST http://any:1/v2/runs HTTP/1.1\r\nHost: x\r\n" + length + body, "200"},
		{"an earlier version of HTTP", "POST /v2/runs HTTP/1.0\r\n" + length + body, "200"},
		{"escapes in the path", "GET /v2/runs/%72un%2D000001 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200"},
	} {
		response, err := exchange(cfg.Listen, request.sent, maxSenderTime)
		if _, status, _ := strings.Cut(response, " "); err != nil || !strings.HasPrefix(status, request.want) {
			t.Errorf("%s: %v, response %.100q, want status %s", request.name, err, response, request.want)
		}
	}
	for _, half := range []string{"Expect: 100-continue\r\n", ""} {
		conn, err := net.Dial("tcp", cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "POST /v2/runs HTTP/1.1\r\nHost: x\r\n"+half+length)
		time.Sleep(tuning.RequestReadTimeout / 10)
		io.WriteString(conn, body)
		conn.SetReadDeadline(time.Now().Add(maxSenderTime))
		response, err := io.ReadAll(conn)
		if err != nil || !strings.Contains(string(response), "HTTP/1.1 200") {
			t.Errorf("head first, %q: %v, response %.100q", half, err, response)
		}
		conn.Close()
	}
}
