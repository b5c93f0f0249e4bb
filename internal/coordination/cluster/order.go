package cluster

// TrueFirst compares two booleans so that true sorts before false.
func TrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
