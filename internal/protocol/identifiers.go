package protocol

// JobID names a job, as in run-000412. Its user chooses it; no two jobs share one.
type JobID string

// MachineID names a rented machine and the agent on it. The cloud chooses it and does
// not use it again.
type MachineID string
