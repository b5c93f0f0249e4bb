package main

import (
	"fmt"
	"sync"
	"time"
)

// Check checks the rules of the protocol by what workers and users see.
type Check struct {
	w          *World
	on         map[string]map[*task]bool // tasks on their machines, by name
	mu         sync.Mutex
	violations []string
	said       map[string]bool
}

func (c *Check) violated(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.said == nil {
		c.said = map[string]bool{}
	}
	if c.said[text] {
		return
	}
	c.said[text] = true
	c.violations = append(c.violations, fmt.Sprintf("%.3f %s", c.w.at(), text))
	c.w.logf("RULE BROKEN %s", text)
}

func (c *Check) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}

// started checks a task that is on its machine from now on. The caller holds the world's lock.
func (c *Check) started(t *task) {
	w, s, m := c.w, &t.job.spec, t.worker.m
	w.logf("%s: %s#%d starts", m.id, t.piece, t.try)
	if t.job.firstStart.IsZero() {
		t.job.firstStart = time.Now()
	}
	for other := range c.on[t.piece] {
		if other.worker != t.worker {
			c.violated("ran_twice", "%s starts on %s (try %d) while it is on %s (try %d)", t.piece, m.id, t.try, other.worker.m.id, other.try)
		}
	}
	if c.on[t.piece] == nil {
		c.on[t.piece] = map[*task]bool{}
	}
	c.on[t.piece][t] = true
	if s.Yard != nil && *s.Yard != m.yard || m.spot && !s.Loaners {
		c.violated("wrong_place", "%s on %s in %s, spot %v", t.piece, m.id, m.yard, m.spot)
	}
	inZone, others := 0, false
	for i := range s.Pieces {
		for other := range c.on[fmt.Sprintf("%s/%d", s.UID, i)] {
			if other.worker.m.yard == m.yard {
				inZone++
			} else {
				others = true
			}
		}
	}
	if s.OneZone && others {
		c.violated("wrong_place", "%s on %s in %s, others of its job are in another zone", t.piece, m.id, m.yard)
	}
	if s.Scatter && inZone > (s.Pieces+1)/2 {
		c.violated("wrong_place", "%s: %d of %d in %s", t.piece, inZone, s.Pieces, m.yard)
	}
	cpus, gpus := 0.0, 0.0
	for _, set := range c.on {
		for other := range set {
			if other.job.spec.Crew == s.Crew {
				cpus += other.job.spec.CPUs
				gpus += other.job.spec.GPUs
			}
		}
	}
	for _, team := range w.set.Teams {
		if team.Name == s.Crew && (team.Max > 0 && gpus > team.Max+1e-6 || team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6) {
			c.violated("quota", "%s uses %g CPUs and %g GPUs", s.Crew, cpus, gpus)
		}
	}
	c.tick()
}

func (c *Check) left(t *task) { delete(c.on[t.piece], t) }

// tick checks that nothing of a cancelled job is on a machine after cancel_s.
func (c *Check) tick() {
	for piece, set := range c.on {
		for t := range set {
			if at := t.job.cancelled; !at.IsZero() && time.Since(at).Seconds() > c.w.set.CancelS {
				c.violated("ran_cancelled", "%s is on %s", piece, t.worker.m.id)
			}
		}
	}
}
