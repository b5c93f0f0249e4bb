package config

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// Seconds converts a number of seconds, as given in the settings, to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WithClockDrift extends a duration by the largest drift between two clocks.
func WithClockDrift(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*tuning.MaxClockDrift)
}
