package config

import "time"

func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
