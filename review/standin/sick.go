package main

import (
	"fmt"
	"time"
)

func init() { cases["sick"] = scenario{run: sick} }

// sick: three of 43 machines fail every task for 38 s; the others run work of the lowest rank. A
// job that met the three must run afterwards: the cloud has more machines.
func sick(w *World, trouble bool) {
	w.cloud.types = []machineType{adinkra("accra-east", "kumasi-central")}
	w.cloud.boot = func() time.Duration { return 10 * time.Second }
	w.mu.Lock()
	for i := range 40 {
		w.cloud.add("adinkra-gpu", w.set.Zones[i%2], false, 0)
	}
	w.mu.Unlock()
	w.startAll()
	w.waitReady(15 * time.Second)
	time.Sleep(4 * time.Second) // all machines have reported
	idle := w.newJob(spec{UID: "run-000010", Lane: "idle-wordmine", Crew: "delivery-ops", Shape: "array", Rank: "idle", Pieces: 160,
		CPUs: 7, GPUs: 1, MemoryGB: 60, Bundle: "img-01", PullGB: 0.2, Loaners: false, ExpectS: 3000, SnapshotS: 15, FlushS: 4}, 3000)
	w.submit(idle, 0)
	on := 0
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		on = 0
		for i := range idle.spec.Pieces {
			on += len(w.check.on[fmt.Sprintf("%s/%d", idle.spec.UID, i)])
		}
		w.mu.Unlock()
		if on == idle.spec.Pieces {
			break
		}
	}
	if on != idle.spec.Pieces {
		cannotRun("%d tasks of %s run", on, idle.spec.UID)
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	for _, z := range w.set.Zones {
		w.cloud.room[z+"/false"], w.cloud.room[z+"/true"] = 8, 2
	}
	var machines []*machine
	for range 3 {
		machines = append(machines, w.cloud.add("adinkra-gpu", "accra-east", false, 0))
	}
	if trouble {
		for _, m := range machines {
			m.worker.sick = true
			w.logf("%s fails every task", m.id)
		}
		time.AfterFunc(38*time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, m := range machines {
				m.worker.sick = false
			}
			w.logf("no machine fails tasks any more")
		})
	}
	w.mu.Unlock()
	time.Sleep(4 * time.Second) // they have reported
	j := w.newJob(spec{UID: "run-000020", Lane: "clue-score", Crew: "lexicon-team", Shape: "array", Rank: "normal", Pieces: 2,
		CPUs: 6, GPUs: 1, MemoryGB: 48, Bundle: "img-03", PullGB: 0.2, Loaners: true, ExpectS: 10, SnapshotS: 15, FlushS: 4}, 5)
	w.submit(j, 0)
	for i := 0; w.at() < w.limit()-8; i++ {
		time.Sleep(4 * time.Second)
		_, phase := w.poll(j, w.nodes[i%3])
		if phase == "done" {
			return
		}
		w.mu.Lock()
		if phase == "running" && len(w.check.on["run-000020/0"])+len(w.check.on["run-000020/1"]) == 0 {
			w.logf("the user was told that %s is running; none of its tasks is on a machine", j.spec.UID)
		}
		w.mu.Unlock()
	}
	w.check.violated("served", "%s, the only job of its class, was accepted at %.0f s and has not run at %.0f s, long after the trouble", j.spec.UID, j.accepted.Sub(w.t0).Seconds(), w.at())
}
