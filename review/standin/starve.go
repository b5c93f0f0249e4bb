package main

import (
	"time"
)

func init() {
	cases["starve"] = scenario{
		settings: func(s *Settings) {
			s.Teams = []team{{Name: "editorial-desk"}, {Name: "lexicon-team", GPUs: 8}, {Name: "delivery-ops"}}
		},
		run: starve,
	}
}

func text(s string) *string { return &s }

// roomFor reports whether some machine that a task of the job may use has room for it.
func (w *World) roomFor(s *spec) *machine {
	for _, m := range w.cloud.machines {
		x := m.worker
		if m.gone || x.dead || !x.up || x.recall != nil || m.spot && !s.Loaners || s.Yard != nil && *s.Yard != m.yard {
			continue
		}
		build := w.cloud.types[0]
		cpus, gpus, memory := build.CPUs, build.GPUs, build.MemoryGB
		for _, t := range x.tasks {
			if t.phase != "exited" {
				cpus, gpus, memory = cpus-t.job.spec.CPUs, gpus-t.job.spec.GPUs, memory-t.job.spec.MemoryGB
			}
		}
		if cpus >= s.CPUs && gpus >= s.GPUs && memory >= s.MemoryGB {
			return m
		}
	}
	return nil
}

// starve: one of four machines of a zone is taken back before a gang of four is submitted. A small job
// that is submitted after it must start: three machines have room.
func starve(w *World, trouble bool) {
	w.cloud.types = []machineType{adinkra("accra-east", "kumasi-central")}
	w.mu.Lock()
	w.cloud.add("adinkra-gpu", "accra-east", false, 0)
	w.cloud.add("adinkra-gpu", "accra-east", true, 0)
	w.cloud.add("adinkra-gpu", "accra-east", true, 0)
	cheap := w.cloud.add("adinkra-gpu", "accra-east", true, 0)
	w.cloud.add("adinkra-gpu", "kumasi-central", false, 0)
	w.cloud.room["kumasi-central/false"] = 6
	w.mu.Unlock()
	w.startAll()
	w.waitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		w.mu.Lock()
		notice := 20.0
		cheap.worker.recall, cheap.worker.changed = &notice, true
		w.logf("the cloud takes %s back in 20 s", cheap.id)
		w.mu.Unlock()
		time.AfterFunc(20*time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !cheap.gone {
				cheap.gone = true
				cheap.worker.die()
				w.logf("%s was taken", cheap.id)
			}
		})
		time.Sleep(1 * time.Second)
	}
	gang := w.newJob(spec{UID: "run-000001", Lane: "grid-forge", Crew: "editorial-desk", Shape: "gang", Rank: "high", Pieces: 4,
		CPUs: 28, GPUs: 4, MemoryGB: 200, Bundle: "img-01", PullGB: 1, Yard: text("accra-east"), OneZone: true, Loaners: true, ExpectS: 15, SnapshotS: 45, FlushS: 5}, 10)
	w.submit(gang, 0)
	time.Sleep(11500 * time.Millisecond)
	array := w.newJob(spec{UID: "run-000002", Lane: "clue-score", Crew: "lexicon-team", Shape: "array", Rank: "normal", Pieces: 3,
		CPUs: 6, GPUs: 1, MemoryGB: 48, Bundle: "img-02", PullGB: 1, Yard: text("accra-east"), Loaners: true, ExpectS: 10, SnapshotS: 15, FlushS: 4}, 5)
	w.submit(array, 1)
	w.expectStart(array)
}

// expectStart checks that no 90 s pass in which the job waits while a machine has room for a task
// of it. It ends when the job is done.
func (w *World) expectStart(array *job) {
	waiting := time.Now()
	for i := 0; time.Since(array.accepted) < 93*time.Second && w.at() < 116; i++ {
		time.Sleep(250 * time.Millisecond)
		w.mu.Lock()
		m := w.roomFor(&array.spec)
		started := !array.firstStart.IsZero()
		w.mu.Unlock()
		if started || m == nil {
			waiting = time.Now()
		}
		if time.Since(waiting) > 90*time.Second {
			w.check.violated("left_waiting", "no task of %s has started in 90 s, and all that time a machine had room, now %s", array.spec.UID, m.id)
			return
		}
		if i%20 == 0 {
			if _, phase := w.poll(array, w.nodes[i/20%3]); phase == "done" {
				return
			}
		}
	}
}
