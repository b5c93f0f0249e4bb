package cluster

import "math"

// Quota is what a team is guaranteed, its limit, and its use of the machines. A value of 0
// means none.
type Quota struct {
	GuaranteedCPUs, GuaranteedGPUs float64
	LimitCPUs, LimitGPUs           float64
	UsedCPUs, UsedGPUs             float64 // by every task that may be on a machine
}

// Guarantees says whether an amount fits into the guarantee; nothing does if there is none.
func (q *Quota) Guarantees(amount Resources) bool {
	if q.GuaranteedCPUs <= 0 && q.GuaranteedGPUs <= 0 {
		return false
	}
	return (q.GuaranteedCPUs == 0 || amount.CPUs <= q.GuaranteedCPUs+AmountTolerance) &&
		(q.GuaranteedGPUs == 0 || amount.GPUs <= q.GuaranteedGPUs+AmountTolerance)
}

// ExceedsGuarantee says whether a team uses more than its guarantee.
func (q *Quota) ExceedsGuarantee() bool {
	return q.UsedGPUs > q.GuaranteedGPUs+AmountTolerance || q.GuaranteedGPUs == 0 && q.UsedCPUs > q.GuaranteedCPUs+AmountTolerance
}

// TasksWithinLimit is how many more tasks of the job its team's limit allows.
func (st *State) TasksWithinLimit(job *Job) int {
	quota := st.Quotas[job.Spec.Team]
	if quota == nil {
		return 0
	}
	n := len(job.Tasks)
	if quota.LimitGPUs > 0 && job.Spec.GPUs > 0 {
		n = min(n, int(math.Floor((quota.LimitGPUs-quota.UsedGPUs+AmountTolerance)/job.Spec.GPUs)))
	}
	if quota.LimitCPUs > 0 && job.Spec.CPUs > 0 {
		n = min(n, int(math.Floor((quota.LimitCPUs-quota.UsedCPUs+AmountTolerance)/job.Spec.CPUs)))
	}
	return max(0, n)
}
