package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["overlap"] = overlap }

// overlap: users poll, and some cancel while their poll is under way. The state service answers
// usually in under 10 ms, and now and then in a few hundred.
func overlap(root, record string, trouble bool) int {
	const (
		users  = 70
		slow   = 400 * time.Millisecond
		oneIn  = 10 // of the transactions, whoever sends them
		cancel = 200 * time.Millisecond
	)
	d := kente()
	w := newWorld(d, root, record)
	w.store.answerDelay = func(node, method, path string, txn *txnRequest) time.Duration {
		if trouble && txn != nil && rand.Intn(oneIn) == 0 {
			return slow
		}
		return 4 * time.Millisecond
	}
	w.upAll()
	w.waitReady()
	var all sync.WaitGroup
	for i := range users {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Second)
			s := jobSpec{UID: fmt.Sprintf("run-%06d", 100+i), Lane: "clue-score", Crew: "lexicon-team", Shape: "array", Rank: "normal", Pieces: 1,
				CPUs: 6, GPUs: 1, MemoryGB: 48, Bundle: "img-1", PullGB: 1, Loaners: true, ExpectS: 100, Snapshot: 15, Flush: 4}
			j := &job{spec: s, run: 100}
			if !w.submit(j, w.anyNode) {
				return
			}
			time.Sleep(5 * time.Second)
			// The user's requests go to one controller here, so that one controller gives both answers.
			at := w.anyNode()
			var polled sync.WaitGroup
			polled.Go(func() { w.poll(j, at) })
			time.Sleep(cancel)
			w.withdraw(j, func() *node { return at })
			polled.Wait()
			time.Sleep(3 * time.Second)
			w.poll(j, at)
		})
	}
	all.Wait()
	return w.finish()
}
