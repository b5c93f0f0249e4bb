package main

import (
	"fmt"
	"time"
)

func init() { cases["mistake"] = scenario{run: mistake} }

// mistake: two jobs that fail on every machine are submitted and cancelled. A job that is submitted
// afterwards must start: both machines have room.
func mistake(w *World, trouble bool) {
	w.cloud.types = []machineType{adinkra("accra-east", "kumasi-central")}
	w.mu.Lock()
	for _, zone := range w.set.Zones {
		w.cloud.add("adinkra-gpu", zone, false, 0)
	}
	w.mu.Unlock()
	w.startAll()
	w.waitReady(15 * time.Second)
	time.Sleep(3 * time.Second) // both machines have reported
	service := w.newJob(spec{UID: "run-000001", Lane: "puzzle-api", Crew: "delivery-ops", Shape: "standing", Rank: "critical", Pieces: 3,
		CPUs: 1, GPUs: 0, MemoryGB: 6.4, Bundle: "img-01", PullGB: 0.3, Scatter: true, Loaners: true}, 0)
	w.submit(service, 0)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		var bad []*job
		for i := range 2 {
			j := w.newJob(spec{UID: fmt.Sprintf("run-00001%d", i), Lane: "hint-sparks", Crew: "editorial-desk", Shape: "array", Rank: "normal", Pieces: 1,
				CPUs: 6, GPUs: 1, MemoryGB: 48, Bundle: "img-02", PullGB: 0.3, Loaners: true, ExpectS: 10}, 5)
			j.mistake = true
			w.submit(j, i)
			bad = append(bad, j)
		}
		time.Sleep(6 * time.Second)
		for i, j := range bad {
			w.cancel(j, i)
		}
	}
	time.Sleep(1 * time.Second)
	array := w.newJob(spec{UID: "run-000020", Lane: "clue-score", Crew: "lexicon-team", Shape: "array", Rank: "normal", Pieces: 3,
		CPUs: 6, GPUs: 1, MemoryGB: 48, Bundle: "img-03", PullGB: 0.3, Loaners: true, ExpectS: 10, SnapshotS: 15, FlushS: 4}, 5)
	w.submit(array, 1)
	for i := range 48 { // two of 52 jobs have a mistake
		j := w.newJob(spec{UID: fmt.Sprintf("run-0001%02d", i), Lane: "clue-score", Crew: "lexicon-team", Shape: "array", Rank: "normal", Pieces: 1,
			CPUs: 6, GPUs: 1, MemoryGB: 48, Bundle: "img-03", PullGB: 0.3, Loaners: true, ExpectS: 10, SnapshotS: 15, FlushS: 4}, 5)
		go func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			w.submit(j, i)
		}()
	}
	w.expectStart(array)
}
