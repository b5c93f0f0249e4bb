package coordination

import (
	"time"
)

// timer is a function to be called at a given time.
type timer struct {
	at time.Time
	do func()
}

// after calls do once the duration has passed.
func (n *Node) after(d time.Duration, do func()) {
	n.timers = append(n.timers, timer{n.now.Add(d), do})
}

func (n *Node) tickTimers() {
	pending := n.timers
	n.timers = nil
	for _, t := range pending {
		if n.now.Before(t.at) {
			n.timers = append(n.timers, t)
		} else {
			t.do()
		}
	}
}
