package simulation

import "testing"

// TestAnswersNeverGoBack: with users who have several requests under way, and a store some of whose
// responses overtake others, no answer is older than one that any controller gave before, and every
// other rule holds too.
func TestAnswersNeverGoBack(t *testing.T) {
	t.Parallel()
	checkRandomRunsWith(t, 100_000, overtakenAnswersKind)
}
