package cluster

import "math"

// Quota is what a team is guaranteed, its limit, and its use of the machines. A value of 0
// means none.
type Quota struct {
	GuaranteedCPUs, GuaranteedGPUs float64
	LimitCPUs, LimitGPUs           float64
	UsedCPUs, UsedGPUs             float64 // by every task that may be on a machine
}

// TasksWithinLimit is how many more tasks of the job its team's limit allows.
func (st *State) TasksWithinLimit(j *Job) int {
	t := st.Quotas[j.Spec.Team]
	if t == nil {
		return 0
	}
	n := len(j.Tasks)
	if t.LimitGPUs > 0 && j.Spec.GPUs > 0 {
		n = min(n, int(math.Floor((t.LimitGPUs-t.UsedGPUs+AmountTolerance)/j.Spec.GPUs)))
	}
	if t.LimitCPUs > 0 && j.Spec.CPUs > 0 {
		n = min(n, int(math.Floor((t.LimitCPUs-t.UsedCPUs+AmountTolerance)/j.Spec.CPUs)))
	}
	return max(0, n)
}

// ExceedsGuarantee says whether a team uses more than its guarantee.
func (t *Quota) ExceedsGuarantee() bool {
	return t.UsedGPUs > t.GuaranteedGPUs+AmountTolerance || t.GuaranteedGPUs == 0 && t.UsedCPUs > t.GuaranteedCPUs+AmountTolerance
}
