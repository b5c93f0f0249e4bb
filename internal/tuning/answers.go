package tuning

import "time"

// The order of answers to users.
const (
	// MaxAnswerAge is how long after its read of the store was sent an answer may be sent that calls a
	// job waiting or running. It exceeds the occasional few hundred milliseconds of a response of the
	// store. While a peer is away, the first answer that calls a job done or cancelled waits for as long.
	MaxAnswerAge = time.Second
	// AnswerAgeMargin is added to this wait for the drift between clocks, and for the time between a
	// peer's last look at its clock and the write to the socket.
	AnswerAgeMargin = 100 * time.Millisecond
	// MaxUnknownAnswerAge and UnknownAnswerAgeMargin are the same for an answer that there is no such
	// job. They are shorter because each submission waits for as long while a peer is away, and users
	// expect it to be accepted at once.
	MaxUnknownAnswerAge    = 400 * time.Millisecond
	UnknownAnswerAgeMargin = 50 * time.Millisecond
	// AnswerMemory is how long a node keeps the newest state that was told about a job. It exceeds the
	// age of every answer that may still be sent.
	AnswerMemory = 2 * (MaxAnswerAge + AnswerAgeMargin)
	// MaxOrderedJobs is the number of jobs whose newest state is kept, each for AnswerMemory.
	MaxOrderedJobs = 100_000
	// RevisionSampleInterval is the interval at which a node notes the store's revision, to know later
	// which records were in the store by then.
	RevisionSampleInterval = 100 * time.Millisecond
	// ReplyOrderTimeout is how long a reply waits for earlier ones about the same job to be written.
	ReplyOrderTimeout = time.Second
)
