package simulation

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"golang.org/x/time/rate"
)

// cloudProvider is a stand-in for the cloud.
type cloudProvider struct {
	w              *World
	hosts          []*host
	rented         map[string][]protocol.MachineID
	next           int
	down           bool
	capacity       int
	requestLimiter *rate.Limiter
	requests       int
	snapshots      []snapshot
	fastBoot       bool // machines are up within two seconds
}

// host is a machine in the cloud.
type host struct {
	protocol.Machine
	createdAt time.Time
	deleted   bool
}

// snapshot is the machine list of a moment.
type snapshot struct {
	at   time.Time
	list []protocol.Machine
}

func newCloudProvider(w *World) *cloudProvider {
	c := &cloudProvider{w: w, rented: map[string][]protocol.MachineID{}, capacity: w.shape.Capacity,
		requestLimiter: rate.NewLimiter(rate.Limit(w.shape.Cloud.RPS), int(2*w.shape.Cloud.RPS))}
	w.after(0, c.recordSnapshot)
	for i := range w.shape.Machines {
		c.add(w.shape.Zones[i%len(w.shape.Zones)], false, 0)
	}
	return c
}

// A snapshot of the machine list is taken every so often, and so many are kept: more than
// the longest lag of a list.
const (
	snapshotInterval = 500 * time.Millisecond
	snapshotsKept    = 30
)

// recordSnapshot takes snapshots of the machine list, again and again.
func (c *cloudProvider) recordSnapshot() {
	var list []protocol.Machine
	for _, h := range c.hosts {
		if !h.deleted {
			m := h.Machine
			m.AgeS = c.w.Now.Sub(h.createdAt).Seconds()
			list = append(list, m)
		}
	}
	c.snapshots = append(c.snapshots, snapshot{c.w.Now, list})
	if len(c.snapshots) > snapshotsKept {
		c.snapshots = c.snapshots[1:]
	}
	c.w.after(snapshotInterval, c.recordSnapshot)
}

// add makes a machine that is up after a while.
func (c *cloudProvider) add(zone protocol.ZoneName, spot bool, boot time.Duration) protocol.MachineID {
	c.next++
	id := protocol.MachineID(fmt.Sprintf("i-%06d", c.next))
	address := string(id)
	if c.w.loopback != nil {
		address = c.w.loopback.address(id)
	}
	h := &host{Machine: protocol.Machine{ID: id, Address: address, Type: c.w.shape.Type.Name, Zone: zone, Spot: spot, Phase: protocol.MachineBooting}, createdAt: c.w.Now}
	c.hosts = append(c.hosts, h)
	c.w.zoneOf[string(id)] = zone
	c.w.after(boot, func() {
		if !h.deleted {
			h.Phase = protocol.MachineRunning
			c.w.agents[id] = newAgent(c.w, h)
		}
	})
	return id
}

// destroy takes a machine and everything on it away at once.
func (c *cloudProvider) destroy(h *host) {
	h.deleted = true
	if agent := c.w.agents[h.ID]; agent != nil {
		c.w.loseAgent(agent)
	}
}

// loseAgent ends a machine's worker and its tasks; the cloud goes on listing the machine.
func (w *World) loseAgent(agent *agent) {
	agent.kill()
	delete(w.agents, agent.host.ID)
}

// serve answers a call as the protocol says, within the budget.
func (c *cloudProvider) serve(method, path string, body []byte, answer responseFunc) {
	c.requests++
	if c.down {
		answer(http.StatusServiceUnavailable, encode(protocol.ErrorBody{Error: "unavailable"}))
		return
	}
	if !c.requestLimiter.AllowN(c.w.Now, 1) {
		answer(http.StatusTooManyRequests, nil)
		return
	}
	u, _ := url.Parse(path)
	switch {
	case u.Path == protocol.PathMachineTypes:
		answer(http.StatusOK, encode(protocol.MachineTypes{Types: []protocol.MachineType{c.w.shape.Type}}))
	case u.Path == protocol.PathMachines && method == http.MethodGet:
		c.list(u.Query(), answer)
	case u.Path == protocol.PathMachines:
		c.createMachines(body, answer)
	default:
		c.deleteMachines(body, answer)
	}
}

// list answers with a page of the machine list as it was a while ago.
func (c *cloudProvider) list(q url.Values, answer responseFunc) {
	lag := c.w.between(4*time.Second, 10*time.Second)
	var list []protocol.Machine
	for _, s := range c.snapshots {
		if c.w.Now.Sub(s.at) >= lag {
			list = s.list
		}
	}
	from, found := slices.BinarySearchFunc(list, protocol.MachineID(q.Get("after")), func(m protocol.Machine, id protocol.MachineID) int { return cmp.Compare(m.ID, id) })
	if found {
		from++
	}
	limit, _ := strconv.Atoi(q.Get("page"))
	list = list[from:]
	answer(http.StatusOK, encode(protocol.MachineList{Machines: list[:min(limit, len(list))], More: len(list) > limit}))
}

// createMachines rents machines as far as there are any.
func (c *cloudProvider) createMachines(body []byte, answer responseFunc) {
	var r protocol.CreateMachinesRequest
	decode(body, &r)
	if names, ok := c.rented[r.RequestID]; ok {
		answer(http.StatusOK, encode(protocol.MachineIDs{Machines: names}))
		return
	}
	up := 0
	for _, h := range c.hosts {
		if !h.deleted {
			up++
		}
	}
	if up >= c.capacity {
		answer(http.StatusServiceUnavailable, encode(protocol.ErrorBody{Error: protocol.NoCapacity}))
		return
	}
	var names []protocol.MachineID
	for range min(r.Count, c.capacity-up) {
		names = append(names, c.add(r.Zone, r.Spot, c.bootTime()))
	}
	c.rented[r.RequestID] = names
	answer(http.StatusOK, encode(protocol.MachineIDs{Machines: names}))
}

// bootTime is how long a machine takes to come up; one in twenty never does.
func (c *cloudProvider) bootTime() time.Duration {
	boot := c.w.between(12*time.Second, 30*time.Second)
	if c.w.rng.IntN(20) == 0 {
		boot = time.Hour
	}
	if c.fastBoot {
		boot = c.w.between(100*time.Millisecond, 2*time.Second)
	}
	return boot
}

// deleteMachines deletes machines.
func (c *cloudProvider) deleteMachines(body []byte, answer responseFunc) {
	var r protocol.MachineIDs
	decode(body, &r)
	for _, h := range c.hosts {
		if slices.Contains(r.Machines, h.ID) && !h.deleted {
			c.destroy(h)
		}
	}
	answer(http.StatusOK, encode(struct{}{}))
}
