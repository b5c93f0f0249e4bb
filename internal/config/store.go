package config

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the announced limits. The store introduces them without notice, some time after
	// all controllers run this version. A limit that is missing here does not change.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits holds announced limits of the store. A nil limit does not change.
type NextStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Smallest returns, of each current and announced limit, the smaller one, so that both hold.
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

// CurrentStoreLimits returns the limits that the store has until it introduces the announced ones.
func (c *Cluster) CurrentStoreLimits() StoreLimits {
	if c.Present != nil {
		return *c.Present
	}
	return c.Store
}
