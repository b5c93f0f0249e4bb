package config

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

// Seconds is a span that the settings give as a number of seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WithClockDrift stretches a span by the largest disagreement of two clocks.
func WithClockDrift(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*tuning.MaxClockDrift)
}
