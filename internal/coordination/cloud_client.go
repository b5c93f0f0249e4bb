package coordination

import (
	"fmt"
	"net/http"

	"github.com/gappond/gappond/internal/coordination/autoscaler"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// cloudClient makes the autoscaler's calls to the cloud. Responses that arrive after the leader
// has stepped down are dropped.
type cloudClient struct{ l *leader }

// CreateMachines implements autoscaler.Cloud.
func (c cloudClient) CreateMachines(request protocol.CreateMachinesRequest, done func(autoscaler.CreateResult)) {
	c.call(http.MethodPost, protocol.PathMachines, request, func(status int, body []byte) {
		names, isNames := parse[protocol.MachineIDs](body)
		errorBody, _ := parse[protocol.ErrorBody](body)
		result := autoscaler.CreateResult{Detail: fmt.Sprintf("status %d: %s", status, body)}
		switch {
		case status == http.StatusOK && isNames:
			result.Outcome, result.Machines = autoscaler.Created, names.Machines
		case status == http.StatusServiceUnavailable && errorBody.Error == protocol.NoCapacity:
			result.Outcome = autoscaler.NoCapacity
		case status == http.StatusBadRequest:
			result.Outcome = autoscaler.CreateRejected
		}
		done(result)
	})
}

// DeleteMachines implements autoscaler.Cloud.
func (c cloudClient) DeleteMachines(machines []protocol.MachineID, done func(deleted bool)) {
	c.call(http.MethodPost, protocol.PathDeleteMachines, protocol.MachineIDs{Machines: machines}, func(status int, _ []byte) {
		done(status == http.StatusOK)
	})
}

// ListMachines implements autoscaler.Cloud.
func (c cloudClient) ListMachines(after protocol.MachineID, done func(page *protocol.MachineList)) {
	c.call(http.MethodGet, protocol.MachinesPath(after, tuning.MachineListPageSize), nil, func(status int, body []byte) {
		page, ok := parse[protocol.MachineList](body)
		if status != http.StatusOK || !ok {
			done(nil)
			return
		}
		done(&page)
	})
}

func (c cloudClient) call(method, path string, body any, done func(status int, body []byte)) {
	c.l.n.request(ToCloud, "", method, path, body, tuning.CloudTimeout, func(status int, body []byte) {
		if c.l.n.ownLeader == c.l {
			done(status, body)
		}
	})
}
