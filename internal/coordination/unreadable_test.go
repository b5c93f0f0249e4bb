package coordination

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/storage"
)

// TestUnreadableRecords: a job of which a record cannot be read, because a later
// version wrote it or because it is damaged, is left alone: nothing of it is written
// or deleted, its tasks run on and are not started again, their machine is kept, and
// other jobs are served. One whose own record can be read may still be cancelled.
func TestUnreadableRecords(t *testing.T) {
	for name, spoil := range map[string]func(s *storedRecords, key, part string){
		"later version": func(s *storedRecords, key, _ string) {
			e := s.entries[key]
			e.Value = json.RawMessage(strings.Replace(string(e.Value), `{"w":"w-1",`, `{"w":"w-1","v":9,`, 1))
			s.entries[key] = e
		},
		"damaged job record": func(s *storedRecords, key, _ string) {
			s.entries[key] = protocol.Entry{Key: key, Value: json.RawMessage(`{"w":"w-1"}`), Revision: 9}
		},
		"damaged part": func(s *storedRecords, _, part string) {
			s.entries[part] = protocol.Entry{Key: part, Value: json.RawMessage(`{"w":"w-1","tasks":7}`), Revision: 9}
		},
	} {
		rec := wideJob(protocol.ShapeGang)
		rec.RecordTasks, rec.Tasks = 49, rec.Tasks[:49]
		s := stored(rec)
		key, part := storage.JobKey(rec.Spec.ID), storage.TaskRecordKey(rec.Spec.ID, 1)
		s.entries[part] = protocol.Entry{Key: part, Revision: 9, Value: storage.Encode(storage.TaskRecord{Writer: "w-4",
			Tasks: wideJob(protocol.ShapeGang).Tasks[49:]})}
		spoil(s, key, part)
		l := s.leader(protocol.PeerLevel)
		machine := l.cluster.Machines[hostName]
		var tasks []protocol.TaskStatus
		for i := range rec.Spec.Tasks {
			tasks = append(tasks, protocol.TaskStatus{Task: protocol.TaskName(rec.Spec.ID, i), Attempt: 2, State: protocol.TaskRunning})
		}
		machine.TypeName, machine.Zone = "big", "a"
		for range 20 {
			if cmds := l.testReport(machine, l.n.election.Term(), tasks...); len(cmds) > 0 {
				t.Fatalf("%s: orders %v", name, cmds)
			}
			l.runSchedulingCycle()
			l.autoscaler.Tick()
			if txn, _ := l.nextTxn(t); txn != nil {
				for _, c := range txn.Changes {
					if strings.Contains(c.Set+c.Delete, string(rec.Spec.ID)) {
						t.Fatalf("%s: %s%s is changed", name, c.Set, c.Delete)
					}
				}
			}
		}
		if machine.Deleting {
			t.Errorf("%s: its machine is returned", name)
		}
		job := l.cluster.Jobs[rec.Spec.ID]
		if (job != nil) != (name == "damaged part") {
			t.Fatalf("%s: known %v", name, job != nil)
		}
		if job != nil {
			l.cancelJob(job)
			if cmds := l.testReport(machine, l.n.election.Term(), tasks...); len(cmds) < 49 || !strings.HasPrefix(ops(cmds), "halt ") {
				t.Errorf("%s: cancelled, and %d orders", name, len(cmds))
			}
		}
	}
}
