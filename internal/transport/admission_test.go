package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

// closedByServer reports whether a client's connection is closed within a short time.
func closedByServer(client net.Conn) bool {
	client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// TestOldestPendingConnectionMakesRoom guards against clients that keep others out by never completing
// a request, and against closing a connection whose request is complete, or has yet to be read.
func TestOldestPendingConnectionMakesRoom(t *testing.T) {
	a := newAdmission(4)
	served, servedEnd := connect(t)
	waiting, waitingEnd := connect(t)
	stalled, stalledEnd := connect(t)
	later, laterEnd := connect(t)
	for _, conn := range []net.Conn{servedEnd, waitingEnd, stalledEnd, laterEnd} {
		if !a.admit(conn) {
			t.Fatal("not admitted though there is room")
		}
	}
	a.markComplete(servedEnd)
	io.WriteString(waiting, "GET")
	time.Sleep(tuning.MinPendingTime)

	_, next := connect(t)
	admitted := time.Now()
	if !a.admit(next) || time.Since(admitted) > tuning.MinPendingTime {
		t.Errorf("admitted after %v", time.Since(admitted))
	}
	if !closedByServer(stalled) {
		t.Error("the connection that was stalled for the longest time is open")
	}
	for name, client := range map[string]net.Conn{"complete": served, "unread": waiting, "newer": later} {
		if closedByServer(client) {
			t.Errorf("the %s connection is closed", name)
		}
	}
	if n := a.count(); n != 4 {
		t.Errorf("%d connections count, want 4", n)
	}
	a.markComplete(waitingEnd)
	a.markComplete(laterEnd)
	a.markComplete(next)
	a.stop()
	if _, last := connect(t); a.admit(last) {
		t.Error("admitted without room after the end")
	}
}
