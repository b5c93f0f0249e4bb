package cluster

import "math"

// Quota is a team's guarantee, its limit and its current use. A guarantee or limit of 0 means
// that there is none.
type Quota struct {
	GuaranteedCPUs, GuaranteedGPUs float64
	LimitCPUs, LimitGPUs           float64
	UsedCPUs, UsedGPUs             float64 // by all attempts that are not proven gone
}

// Guarantees reports whether an amount fits into the guarantee. Without any guarantee nothing
// fits. With a guarantee for only one resource, the other is not limited.
func (q *Quota) Guarantees(amount Resources) bool {
	if q.GuaranteedCPUs <= 0 && q.GuaranteedGPUs <= 0 {
		return false
	}
	return (q.GuaranteedCPUs == 0 || amount.CPUs <= q.GuaranteedCPUs+AmountTolerance) &&
		(q.GuaranteedGPUs == 0 || amount.GPUs <= q.GuaranteedGPUs+AmountTolerance)
}

// ExceedsGuarantee reports whether the team uses more than its guarantee. CPUs only count if
// it has no guarantee of GPUs.
func (q *Quota) ExceedsGuarantee() bool {
	return q.UsedGPUs > q.GuaranteedGPUs+AmountTolerance || q.GuaranteedGPUs == 0 && q.UsedCPUs > q.GuaranteedCPUs+AmountTolerance
}

// TasksWithinLimit returns how many more tasks of the job its team's limit allows, at most
// the number of its tasks. It returns 0 if the team is unknown.
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
