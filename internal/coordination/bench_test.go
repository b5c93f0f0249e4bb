package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// bigResources are those of a controller of two thousand machines.
var bigResources = config.Resources{Cores: 0.25, MemoryMB: 271, FDLimit: 2127}

// fullFleet is a leader with two thousand machines, all taken by arrays of the
// lowest priority, and jobs that wait.
func fullFleet(waiting int) *leader {
	l := testLeader(time.Unix(1_800_000_000, 0))
	for i := range 2000 {
		l.testMachine(fmt.Sprintf("i-%06d", i), "big", []string{"a", "b", "c"}[i%3], false)
	}
	s := gangOf(100, 2)
	s.Shape, s.Priority = protocol.ShapeArray, "idle"
	for range 40 {
		j := l.testJob(s)
		l.placeArray(j, false)
		for _, c := range j.copies {
			c.committed, c.sent, c.state = true, true, protocol.TaskRunning
		}
	}
	for i := range waiting {
		s := gangOf(1<<(i%6), 4)
		s.OneZone, s.Zone = true, "a"
		l.testJob(s)
	}
	return l
}

// BenchmarkReport is the path of a worker's report at two thousand machines,
// decoding included.
func BenchmarkReport(b *testing.B) {
	l := fullFleet(600)
	bodies := make([]*machine, 0, len(l.roster))
	bodies = append(bodies, l.roster...)
	b.ReportAllocs()
	for i := range b.N {
		m := bodies[i%len(bodies)]
		body := fmt.Appendf(nil, `{"berth":%q,"address":"h:1","build":"big","yard":%q,"loaners":false,"tenure":1,"tally":%d,"warrant":%d,"recall_s":null,"pieces":[`,
			m.id, m.zone, m.seq+1, l.n.claim.term)
		for k, c := range sortedCopies(m) {
			if k > 0 {
				body = append(body, ',')
			}
			body = fmt.Appendf(body, `{"piece":"%s/%d","try":%d,"phase":"running"}`, c.j.id, c.key.index, c.key.attempt)
		}
		body = append(body, "]}"...)
		r, err := protocol.ParseReport(body)
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := l.report(r, true); !ok {
			b.Fatal("not taken")
		}
	}
}

// BenchmarkPlan is a pass over a queue of six hundred gangs that do not fit at
// two thousand machines, searches for work to stop included.
func BenchmarkPlan(b *testing.B) {
	l := fullFleet(600)
	b.ReportAllocs()
	for b.Loop() {
		l.n.now = l.n.now.Add(tuning.PlanEvery)
		for _, m := range l.roster {
			m.lastReport = l.n.now
		}
		l.schedule()
	}
	b.ReportMetric(float64(l.looks), "looks/op")
}
