package coordination

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gappond/gappond/internal/tuning"
)

// pack empties machines that waste most money, if nothing waits and what they
// carry can be saved and fits elsewhere: the paper's defragmentation, for the
// sake of returning machines instead of making larger blocks. The larger the
// fleet, the more machines at once.
func (l *leader) pack() {
	if l.waiting > 0 {
		return
	}
	type choice struct {
		m     *machine
		waste float64
	}
	var list []choice
	p := packing{left: map[*machine]resources{}, emptied: map[*machine]bool{}}
	for _, m := range l.roster {
		t := l.kind(m)
		if !l.takesTasks(m) || m.hold != nil || len(m.attempts) == 0 || t.GPUs == 0 {
			continue
		}
		p.targets = append(p.targets, m)
		if m.gpus <= t.GPUs*tuning.PackBelow {
			list = append(list, choice{m, l.price(m) * (t.GPUs - m.gpus)})
		}
	}
	slices.SortStableFunc(list, func(a, b choice) int { return cmp.Compare(b.waste, a.waste) })
	slices.SortStableFunc(p.targets, func(a, b *machine) int { return cmp.Compare(b.gpus, a.gpus) })
	most := max(1, len(l.roster)/tuning.PackFleet)
	for _, c := range list[:min(len(list), tuning.PackTries*most)] {
		if len(p.emptied) == most {
			return
		}
		if _, taken := p.left[c.m]; !taken && c.waste > 0 && l.movable(c.m, &p) {
			p.emptied[c.m] = true
			l.n.log.Info("packing", "machine", c.m.id, "tasks", len(c.m.attempts))
			l.drain(c.m)
		}
	}
}

// packing is one round of moves: machines that take tasks, the fullest first,
// what they have left after the moves so far, and those that are emptied.
type packing struct {
	targets []*machine
	left    map[*machine]resources
	emptied map[*machine]bool
}

// movable says whether all that a machine carries is worth moving and fits on
// other machines that are not dearer; if so the room is taken there.
func (l *leader) movable(m *machine, p *packing) bool {
	taken := map[*machine]resources{}
	for _, c := range sortedAttempts(m) {
		s := c.j.spec
		rest := s.EstimateS - l.n.now.Sub(c.running).Seconds()
		if c.stop || c.running.IsZero() || s.Gang() || s.CheckpointS == 0 || rest < tuning.PackWorth {
			return false
		}
		found := false
		for _, o := range p.targets {
			if o == m || p.emptied[o] || l.price(o) > l.price(m) || !l.usable(c.j, o) {
				continue
			}
			r, ok := taken[o]
			if !ok {
				if r, ok = p.left[o]; !ok {
					r = l.freeResources(o)
				}
			}
			if r.fit(s, 1) == 1 {
				r.addTasks(s, -1)
				taken[o], found = r, true
				break
			}
		}
		if !found {
			return false
		}
	}
	maps.Copy(p.left, taken)
	return true
}
