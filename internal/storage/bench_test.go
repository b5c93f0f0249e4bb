package storage

import (
	"testing"

	"github.com/gappond/gappond/internal/protocol"
)

// BenchmarkDecodeJob is a record of a job of ninety tasks, half of them placed: a
// new leader decodes every one.
func BenchmarkDecodeJob(b *testing.B) {
	rec := Job{Writer: "boot-1", Spec: &protocol.Job{ID: "run-000001", Class: "class", Team: "team", Shape: protocol.ShapeArray, Priority: "idle",
		Tasks: 90, CPUs: 10, GPUs: 1, MemoryGB: 54, Image: "img-1", ImageGB: 6, Types: []protocol.MachineTypeName{"type"}, Spot: true, EstimateS: 40, DeadlineS: 150}, TasksPerBaseRecord: 98}
	for i := range 90 {
		t := Task{Index: i, Attempt: 1, Done: i%2 == 0}
		if !t.Done {
			t.Machine, t.Incarnation = "i-000123", 1
		}
		rec.Tasks = append(rec.Tasks, t)
	}
	value := Encode(rec)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeJob(value); err != nil {
			b.Fatal(err)
		}
	}
}
