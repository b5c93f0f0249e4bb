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

// cloudProvider is the stand-in for the cloud.
type cloudProvider struct {
	w              *World
	hosts          []*host
	created        map[string][]protocol.MachineID // by request ID: a repeated request creates nothing
	next           int
	down           bool
	capacity       int
	requestLimiter *rate.Limiter
	requests       int
	snapshots      []snapshot
	fastBoot       bool // machines boot within two seconds
	late           lateChanges
}

// lateChanges controls how creations and deletions of machines are carried out.
type lateChanges struct {
	delay      time.Duration // how late; 0: at once
	unanswered bool          // without a response
	twice      bool          // once more after the same delay
}

// host is a machine in the cloud.
type host struct {
	protocol.Machine
	createdAt time.Time
	deleted   bool
}

// snapshot is the machine list at one time.
type snapshot struct {
	at   time.Time
	list []protocol.Machine
}

func newCloudProvider(w *World) *cloudProvider {
	c := &cloudProvider{w: w, created: map[string][]protocol.MachineID{}, capacity: w.shape.Capacity,
		requestLimiter: rate.NewLimiter(rate.Limit(w.shape.Cloud.RPS), int(2*w.shape.Cloud.RPS))}
	w.after(0, c.recordSnapshot)
	for i := range w.shape.Machines {
		c.add(w.shape.Zones[i%len(w.shape.Zones)], false, 0)
	}
	return c
}

// Snapshots of the machine list are taken at snapshotInterval. Those that are kept reach back
// further than the longest lag of a list.
const (
	snapshotInterval = 500 * time.Millisecond
	snapshotsKept    = 30
)

// recordSnapshot takes a snapshot of the machine list and schedules the next one.
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

// add creates a machine that runs after the given boot time.
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

// destroy deletes a machine and everything on it at once.
func (c *cloudProvider) destroy(h *host) {
	h.deleted = true
	if agent := c.w.agents[h.ID]; agent != nil {
		c.w.loseAgent(agent)
	}
}

// loseAgent ends a machine's agent and its tasks. The cloud still lists the machine.
func (w *World) loseAgent(agent *agent) {
	agent.kill()
	delete(w.agents, agent.host.ID)
}

// serve responds to a request as the protocol says, within the rate limit.
func (c *cloudProvider) serve(method, path string, body []byte, respond responseFunc) {
	c.requests++
	if c.down {
		respond(http.StatusServiceUnavailable, encode(protocol.ErrorBody{Error: "unavailable"}))
		return
	}
	if !c.requestLimiter.AllowN(c.w.Now, 1) {
		respond(http.StatusTooManyRequests, nil)
		return
	}
	u, _ := url.Parse(path)
	switch {
	case u.Path == protocol.PathMachineTypes:
		respond(http.StatusOK, encode(protocol.MachineTypes{Types: []protocol.MachineType{c.w.shape.Type}}))
	case u.Path == protocol.PathMachines && method == http.MethodGet:
		c.list(u.Query(), respond)
	case u.Path == protocol.PathMachines:
		c.change(func(respond responseFunc) { c.createMachines(body, respond) }, respond)
	default:
		c.change(func(respond responseFunc) { c.deleteMachines(body, respond) }, respond)
	}
}

// change carries out a creation or deletion of machines, now or late.
func (c *cloudProvider) change(carryOut func(respond responseFunc), respond responseFunc) {
	if c.late.unanswered {
		respond = func(int, []byte) {}
	}
	if c.late.delay == 0 {
		carryOut(respond)
		return
	}
	c.w.after(c.late.delay, func() { carryOut(respond) })
	if c.late.twice {
		c.w.after(2*c.late.delay, func() { carryOut(func(int, []byte) {}) })
	}
}

// list responds with a page of the machine list as it was some seconds ago.
func (c *cloudProvider) list(q url.Values, respond responseFunc) {
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
	respond(http.StatusOK, encode(protocol.MachineList{Machines: list[:min(limit, len(list))], More: len(list) > limit}))
}

// createMachines creates machines up to the capacity.
func (c *cloudProvider) createMachines(body []byte, respond responseFunc) {
	var r protocol.CreateMachinesRequest
	decode(body, &r)
	if ids, ok := c.created[r.RequestID]; ok {
		respond(http.StatusOK, encode(protocol.MachineIDs{Machines: ids}))
		return
	}
	up := 0
	for _, h := range c.hosts {
		if !h.deleted {
			up++
		}
	}
	if up >= c.capacity {
		respond(http.StatusServiceUnavailable, encode(protocol.ErrorBody{Error: protocol.NoCapacity}))
		return
	}
	var ids []protocol.MachineID
	for range min(r.Count, c.capacity-up) {
		ids = append(ids, c.add(r.Zone, r.Spot, c.bootTime()))
	}
	c.created[r.RequestID] = ids
	respond(http.StatusOK, encode(protocol.MachineIDs{Machines: ids}))
}

// bootTime returns how long a machine takes to boot. One in twenty takes so long that it counts as
// never booting.
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
func (c *cloudProvider) deleteMachines(body []byte, respond responseFunc) {
	var r protocol.MachineIDs
	decode(body, &r)
	for _, h := range c.hosts {
		if slices.Contains(r.Machines, h.ID) && !h.deleted {
			c.destroy(h)
		}
	}
	respond(http.StatusOK, encode(struct{}{}))
}
