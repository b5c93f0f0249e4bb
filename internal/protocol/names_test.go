package protocol

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/gappond/gappond/internal/golden"
)

// wireMessages are the messages in JSON, by names of this test's own.
var wireMessages = map[string]reflect.Type{
	"machine types": reflect.TypeFor[MachineTypes](),
	"rental":        reflect.TypeFor[CreateMachinesRequest](),
	"machine names": reflect.TypeFor[MachineIDs](),
	"machine list":  reflect.TypeFor[MachineList](),
	"job":           reflect.TypeFor[Job](),
	"job as read":   reflect.TypeFor[jobWire](),
	"status":        reflect.TypeFor[Status](),
	"accepted":      reflect.TypeFor[Accepted](),
	"error":         reflect.TypeFor[ErrorBody](),
	"entries":       reflect.TypeFor[Entries](),
	"entry":         reflect.TypeFor[Entry](),
	"txn":           reflect.TypeFor[Transaction](),
	"txn answer":    reflect.TypeFor[TransactionResponse](),
	"lease request": reflect.TypeFor[LeaseRequest](),
	"lease answer":  reflect.TypeFor[LeaseResponse](),
	"watch answer":  reflect.TypeFor[WatchResponse](),
	"report":        reflect.TypeFor[Heartbeat](),
	"report answer": reflect.TypeFor[HeartbeatResponse](),
	"redirect":      reflect.TypeFor[Redirect](),
	"orders":        reflect.TypeFor[CommandBatch](),
}

// TestWireNames: every field of every message, its place and its kind, the messages as a
// whole, and the paths are those of the golden list.
func TestWireNames(t *testing.T) {
	list := golden.JSONNames(t, wireMessages, nil)
	for _, verb := range []CommandKind{CommandStart, CommandStop, CommandForget} {
		text, err := json.Marshal(Command{Kind: verb, Task: "run-1/2", Attempt: 3, GraceS: 4})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, "command "+string(text))
	}
	for _, path := range []string{PathJobs, PathReady, PathHeartbeat, PathMetrics, CancelAction, PathCommands, PathInspect, PathMachineTypes,
		PathMachines, PathDeleteMachines, PathTransactions, PathLeases, MachinesPath("a/b", 2), KeyPath("g/a"), RangePath("g/", "g/a", 3),
		RangePath("g/", "", 3), WatchPath("g/", 4, 5), RenewPath(6)} {
		list = append(list, "path "+path)
	}
	golden.CompareLines(t, "testdata/names.txt", list)
}
