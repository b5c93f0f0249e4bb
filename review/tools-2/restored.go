package main

import (
	"time"
)

func init() {
	cases["restored"] = func(root, record string, trouble bool) int { return restored(root, record, trouble, false) }
	cases["kept"] = func(root, record string, trouble bool) int { return restored(root, record, trouble, true) }
}

// backup is the content of the state service at one time.
type backup struct {
	keys   map[string]entry
	ledger uint64
}

func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backup{map[string]entry{}, s.ledger}
	for k, e := range s.keys {
		if e.Permit == 0 {
			b.keys[k] = e
		}
	}
	return b
}

// restore brings the state service back in an earlier state. No lease survives.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys, s.ledger, s.grants, s.log = b.keys, b.ledger, map[uint64]*grant{}, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// restored: all controllers lose power together while the workers go on, and the stored state that
// they find is some seconds old. If onlyKills is set, no machine has free capacity, and what counts is
// that no task is killed that its job needs and that runs nowhere else.
func restored(root, record string, trouble, onlyKills bool) int {
	d := kente()
	d.bootMin, d.bootMax = 0.6, 0.7
	d.reportS = 5
	w := newWorld(d, root, record)
	w.upAll()
	w.waitReady()
	running := func(jobs ...*job) func() bool {
		return func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, j := range jobs {
				for i := range j.spec.Pieces {
					if t := w.placed[pieceName(j.spec.UID, i)]; t == nil || t.phase != "running" {
						return false
					}
				}
			}
			return true
		}
	}
	submit := func(uid string, pieces int) *job {
		j := &job{spec: jobSpec{UID: uid, Lane: "clue-score", Crew: "lexicon-team", Shape: "array", Rank: "normal", Pieces: pieces,
			CPUs: 6, GPUs: 1, MemoryGB: 48, Bundle: "img-1", PullGB: 5, Loaners: true, ExpectS: 150, Snapshot: 15, Flush: 4}, run: 200}
		if !w.submit(j, w.anyNode) {
			w.close()
			fatal("a job was not accepted")
		}
		return j
	}
	first := submit("run-000100", 16) // fills the four machines that are up
	if !w.waitFor("the first job runs", 30*time.Second, running(first)) {
		w.close()
		fatal("the first job doesn't run")
	}
	second, third := submit("run-000101", 8), submit("run-000102", 8)
	time.Sleep(5 * time.Second) // the machines for them are hired by now, and boot
	old := w.store.backup()
	w.note("the state service is copied, ledger %d", old.ledger)
	if !w.waitFor("the other jobs run", 60*time.Second, running(second, third)) {
		w.close()
		fatal("the other jobs don't run")
	}
	time.Sleep(3 * time.Second)
	for _, n := range w.nodes {
		n.kill()
	}
	if trouble {
		w.mu.Lock()
		w.note("the state service comes back with the copy; its ledger was %d", w.store.ledger)
		w.mu.Unlock()
		w.store.restore(old)
	}
	w.mu.Lock()
	if onlyKills {
		w.onHalt = func(t *task) {
			if t.on && !t.job.askedCancel && !t.job.done[t.index] && w.placed[t.piece] == t {
				w.violated("keep_valid_work", "%s@%d is told to stop on %s, where it has run for %.0f s; its job needs it, and it runs nowhere else",
					t.piece, t.try, t.m.id, time.Since(t.startedAt).Seconds())
			}
		}
	}
	for i := range first.spec.Pieces {
		if onlyKills {
			break
		} // the first job's run time is over
		if t := w.placed[pieceName(first.spec.UID, i)]; t != nil {
			first.done[i] = true
			t.exit("done", false)
		}
	}
	w.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	w.upAll()
	time.Sleep(25 * time.Second)
	return w.finish()
}
