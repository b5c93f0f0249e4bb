package transport

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// admission bounds the connections that a listener has accepted. A connection whose client has yet to
// complete its request, or to tell its name, is pending. If there are too many connections and another
// one has been accepted, the one that has been pending for the longest time is closed for it, so that
// clients which complete nothing never keep others out. Connections that are not pending are left
// alone, and so are those from which data has arrived that this process has yet to read: it is this
// process that is slow then.
type admission struct {
	limit int // 0: no limit

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // every connection; its element of pending, or nil
	pending list.List                  // of pendingConnection, the oldest first
	waiting bool                       // admit waits for a change
	changed chan struct{}              // closed, and replaced, when a connection ends or becomes pending
	closed  chan struct{}              // closed when the listener is closed
}

// pendingConnection is a connection that has been pending since a point in time.
type pendingConnection struct {
	conn  net.Conn
	since time.Time
}

func newAdmission(limit int) *admission {
	return &admission{limit: limit, open: map[net.Conn]*list.Element{}, changed: make(chan struct{}), closed: make(chan struct{})}
}

// admit adds a connection, which is pending, once there is room for it. It returns false if the
// listener has been closed.
func (a *admission) admit(conn net.Conn) bool {
	for {
		pause, changed := a.tryAdmit(conn)
		if changed == nil {
			return true
		}
		timer := time.NewTimer(pause)
		select {
		case <-changed:
		case <-timer.C:
		case <-a.closed:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// tryAdmit adds a connection if there is room for it, after closing another one if need be. Otherwise
// it returns when to try again: after a pause, and when the channel is closed.
func (a *admission) tryAdmit(conn net.Conn) (pause time.Duration, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit > 0 && len(a.open) >= a.limit {
		if pause := a.closeOldestPending(); pause > 0 {
			a.waiting = true
			return pause, a.changed
		}
	}
	a.open[conn] = a.pending.PushBack(pendingConnection{conn, time.Now()})
	return 0, nil
}

// closeOldestPending closes the connection that has been pending for the longest time. If none has been
// for tuning.MinPendingTime, it closes none and returns the pause until one may have been. A connection
// whose client waits for this process begins anew.
func (a *admission) closeOldestPending() (pause time.Duration) {
	for {
		element := a.pending.Front()
		if element == nil {
			return tuning.MinPendingTime
		}
		oldest := element.Value.(pendingConnection)
		if age := time.Since(oldest.since); age < tuning.MinPendingTime {
			return tuning.MinPendingTime - age
		}
		if !hasUnreadData(oldest.conn) {
			oldest.conn.Close()
			a.remove(oldest.conn)
			return 0
		}
		a.restart(element)
	}
}

// restart counts the time for which a connection has been pending from now on.
func (a *admission) restart(element *list.Element) {
	element.Value = pendingConnection{element.Value.(pendingConnection).conn, time.Now()}
	a.pending.MoveToBack(element)
}

// markPending notes that a connection's client has begun a request. If the connection was pending
// before, that is left as it is.
func (a *admission) markPending(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if element, isOpen := a.open[conn]; isOpen && element == nil {
		a.open[conn] = a.pending.PushBack(pendingConnection{conn, time.Now()})
		a.notify()
	}
}

// markActive notes that a connection which stays pending has made progress.
func (a *admission) markActive(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if element := a.open[conn]; element != nil {
		a.restart(element)
	}
}

// markComplete notes that a connection's client has completed its request.
func (a *admission) markComplete(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if element := a.open[conn]; element != nil {
		a.pending.Remove(element)
		a.open[conn] = nil
	}
}

// release removes a connection that has ended, or that no longer counts.
func (a *admission) release(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(conn)
}

func (a *admission) remove(conn net.Conn) {
	element, isOpen := a.open[conn]
	if !isOpen {
		return
	}
	if element != nil {
		a.pending.Remove(element)
	}
	delete(a.open, conn)
	a.notify()
}

// notify wakes admit if it waits for room.
func (a *admission) notify() {
	if a.waiting {
		a.waiting = false
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// count returns the number of connections.
func (a *admission) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

// stop makes admit return. It may be called once.
func (a *admission) stop() { close(a.closed) }

// admittingListener accepts connections through an admission.
type admittingListener struct {
	net.Listener
	admission *admission
	stop      func()
}

// newAdmittingListener returns a listener that admits each connection before it returns it.
func newAdmittingListener(listener net.Listener, admission *admission) *admittingListener {
	return &admittingListener{Listener: listener, admission: admission, stop: sync.OnceFunc(admission.stop)}
}

// Accept implements net.Listener.
func (l *admittingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.admission.admit(conn) {
		conn.Close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *admittingListener) Close() error {
	l.stop()
	return l.Listener.Close()
}

// hasUnreadData reports whether data has arrived on a connection that this process has not read.
func hasUnreadData(conn net.Conn) bool {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	// Control, unlike Read, does not wait for a Read of the connection that is in progress.
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		unread, _, _ = syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}
