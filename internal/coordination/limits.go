package coordination

import (
	"math"

	"github.com/gappond/gappond/internal/protocol"
)

// zoneLimits says how many more tasks of the job each zone may take, given
// where its tasks may be at this moment. The second result is the only zone
// left, if one_zone has been decided.
func (l *leader) zoneLimits(j *job) (limit map[protocol.ZoneName]int, only protocol.ZoneName) {
	limit = map[protocol.ZoneName]int{}
	for _, c := range j.attempts {
		limit[c.m.zone]++
		only = c.m.zone
	}
	most := len(j.tasks)
	if j.spec.Spread {
		// An attempt on a machine of no known zone may be in any.
		most = max(0, (len(j.tasks)+1)/2-limit[""])
	}
	if j.spec.OneZone && (len(limit) > 1 || limit[""] > 0) {
		// Old attempts that may still be there disagree, or nobody knows where they
		// are: none may join them until all but one zone's are proven gone.
		most = 0
	}
	for _, z := range l.n.cfg.Cluster.Zones {
		limit[z] = max(0, most-limit[z])
	}
	if !j.spec.OneZone {
		only = ""
	}
	return limit, only
}

// teamQuota is how many more tasks of the job its team's limit allows.
func (l *leader) teamQuota(j *job) int {
	t := l.teams[j.spec.Team]
	if t == nil {
		return 0
	}
	n := len(j.tasks)
	if t.maxGPUs > 0 && j.spec.GPUs > 0 {
		n = min(n, int(math.Floor((t.maxGPUs-t.gpus+amountSlack)/j.spec.GPUs)))
	}
	if t.maxCPUs > 0 && j.spec.CPUs > 0 {
		n = min(n, int(math.Floor((t.maxCPUs-t.cpus+amountSlack)/j.spec.CPUs)))
	}
	return max(0, n)
}
