package cluster

import (
	"time"

	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// Suspicion is the evidence that a machine is faulty, so that every task fails there.
type Suspicion struct {
	// FailedJobs are the jobs that failed on the machine since a task last succeeded there, without
	// those whose failures turned out to be their own fault.
	FailedJobs    map[protocol.JobID]bool
	LastFailureAt time.Time // when the last job was added to FailedJobs
	// Trial is set after a cordon ended only because its time was over. It is nil once a task
	// succeeds on the machine.
	Trial *Trial
}

// Trial admits one job after the other to a machine that may be faulty.
type Trial struct {
	Since      time.Time
	job        *Job // the job that is tried now, nil if there is none
	admittedAt time.Time
}

// RecordFailure records that a job failed on the machine. It returns false if the failure is no
// new evidence, because the same job has failed there before.
func (s *Suspicion) RecordFailure(job protocol.JobID, now time.Time) bool {
	if s.FailedJobs[job] {
		return false
	}
	s.FailedJobs[job] = true
	s.LastFailureAt = now
	return true
}

// BeginTrial begins a trial.
func (s *Suspicion) BeginTrial(now time.Time) { s.Trial = &Trial{Since: now, admittedAt: now} }

// Suspected reports whether the machine may be faulty.
func (s *Suspicion) Suspected() bool { return len(s.FailedJobs) > 0 || s.Trial != nil }

// ClearSuspicion drops all evidence, because a task succeeded on the machine.
func (s *Suspicion) ClearSuspicion() {
	clear(s.FailedJobs)
	s.Trial = nil
}

// Admits reports whether a job may start tasks on the machine. During a trial one more job may do
// so after each tuning.TrialInterval. A job that has failed nowhere may also do so if no other is
// tried now. One that has failed elsewhere may be at fault itself, and would show nothing.
func (s *Suspicion) Admits(job *Job, now time.Time) bool {
	t := s.Trial
	switch {
	case t == nil || t.job == job:
		return true
	case t.job == nil && len(job.Failures.Machines) == 0:
		return true
	}
	return now.Sub(t.admittedAt) >= tuning.TrialInterval
}

// Admit records that a job starts tasks on the machine.
func (s *Suspicion) Admit(job *Job, now time.Time) {
	if t := s.Trial; t != nil && t.job != job {
		t.job, t.admittedAt = job, now
	}
}

// EndTrialOf records that a job that may have been tried on the machine has failed.
func (s *Suspicion) EndTrialOf(job *Job) {
	if t := s.Trial; t != nil && t.job == job {
		t.job = nil
	}
}

// ShowsWorking reports whether an attempt that has run until now, or succeeded, shows that its
// machine works: it began to run after the last failure there and after the begin of a trial. It
// is not known when an attempt of a previous leader began to run.
func (a *Attempt) ShowsWorking() bool {
	s := &a.Machine.Suspicion
	if a.Recovered || a.RunningSince.IsZero() || !a.RunningSince.After(s.LastFailureAt) {
		return false
	}
	return s.Trial == nil || a.RunningSince.After(s.Trial.Since)
}

// RanFor reports whether an attempt has been running for at least the given time.
func (a *Attempt) RanFor(d time.Duration, now time.Time) bool {
	return !a.RunningSince.IsZero() && now.Sub(a.RunningSince) >= d
}
