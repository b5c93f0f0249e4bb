package cluster

// TrueFirst compares two Booleans for a sort that puts true first.
func TrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
