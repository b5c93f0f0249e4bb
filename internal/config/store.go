package config

// StoreLimits holds the key-value store's limits.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are the limits that the service will have some time after all
	// controllers run this version, without notice; what is missing stays.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits holds limits to come.
type NextStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Smallest are the limits that hold now and later: the smaller of each.
func (s StoreLimits) Smallest() StoreLimits {
	t := s
	t.Next = nil
	if n := s.Next; n != nil {
		lowerLimit(&t.RPS, n.RPS)
		lowerLimit(&t.WriteRPS, n.WriteRPS)
		lowerLimit(&t.ValueKB, n.ValueKB)
		lowerLimit(&t.TxnOps, n.TxnOps)
	}
	return t
}

func lowerLimit[T int | float64](limit *T, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// CurrentStoreLimits holds the limits that the store has before they are lowered.
func (c *Cluster) CurrentStoreLimits() StoreLimits {
	if c.Present != nil {
		return *c.Present
	}
	return c.Store
}
