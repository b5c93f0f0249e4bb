package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
	"github.com/gappond/gappond/internal/tuning"
	"golang.org/x/time/rate"
)

// workerCalls paces the calls to workers by what they cost of the controller's
// share of a core: a new leader that called every worker of a large fleet at
// once would not come to renew its leader lease.
func (n *Node) workerCalls() *rate.Limiter {
	cores := n.cfg.Cluster.Resources.Cores
	if cores <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	limit := cores * tuning.AgentCallCPUShare / tuning.AgentCallCPUCost.Seconds()
	return rate.NewLimiter(rate.Limit(limit), max(tuning.MinConcurrentAgentCalls, int(limit)))
}

// mayCall says whether a worker may be called now. Calls that can wait leave
// half of the pace and of the sockets to orders: probes of a dark zone hang
// for their whole time.
func (l *leader) mayCall(canWait bool) bool {
	sockets := max(tuning.MinConcurrentAgentCalls, int(float64(l.n.cfg.Cluster.Resources.FDLimit)*tuning.AgentCallConnectionShare))
	pace := 1.0
	if canWait {
		sockets /= 2
		pace = float64(l.calls.Burst()) / 2
	}
	return l.calling < sockets && (l.calls.Limit() == rate.Inf || l.calls.TokensAt(l.n.now) >= pace)
}

// call makes a call to a worker.
func (l *leader) call(machine *cluster.Machine, method, path string, body any, done func(status int, body []byte)) {
	l.calls.AllowN(l.n.now, 1)
	l.calling++
	ended := func(status int, body []byte) {
		l.calling--
		if l.n.lead == l {
			done(status, body)
		}
	}
	if path == protocol.PathCommands && l.usesProxies() && l.n.delegate(machine, storage.Encode(body), ended) {
		return
	}
	l.n.request(ToWorker, machine.Address, method, path, body, tuning.ProbeTimeout, ended)
}

// delegate has a peer send orders to a worker, if all links are there: a call
// is a new connection mostly, which costs much of a small share of a core. What
// the peer does not answer in time may still be executed, as any order that
// was not answered. Probes are not delegated: they judge a machine.
func (n *Node) delegate(machine *cluster.Machine, body []byte, done func(status int, body []byte)) bool {
	if !n.fullyConnected() {
		return false
	}
	n.nextID++
	n.delegated[n.nextID] = delegatedCall{done, n.now.Add(tuning.ProbeTimeout + tuning.DelegatedCallMargin)}
	n.sendTo(n.proxyFor(machine.ID, n.cfg.Name, 0), protocol.PeerAgentCall{ID: n.nextID, Origin: n.cfg.Name, Address: machine.Address, Body: body})
	return true
}

// callFor sends orders to a worker for the leader.
func (n *Node) callFor(c protocol.PeerAgentCall) {
	n.request(ToWorker, c.Address, "POST", protocol.PathCommands, c.Body, tuning.ProbeTimeout, func(status int, body []byte) {
		n.sendTo(c.Origin, protocol.PeerResponse{ID: c.ID, Target: c.Origin, Status: uint64(status), Body: body})
	})
}
