package config

import (
	"time"

	"github.com/gappond/gappond/internal/tuning"
)

func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WithClockDrift stretches a span by the largest disagreement of two clocks.
func WithClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*tuning.MaxClockDrift)
}
