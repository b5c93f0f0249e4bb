package protocol

import (
	"net/url"
	"strconv"
)

// Paths of gappond's own HTTP interface.
const (
	PathJobs      = "/v2/runs"
	PathReady     = "/ready"
	PathHeartbeat = "/checkin"
	// PathMetrics serves metrics to operators.
	PathMetrics = "/metrics"
	// CancelAction is appended to a job's path to cancel the job.
	CancelAction = "withdraw"
)

// Paths of an agent.
const (
	PathCommands = "/orders"
	PathInspect  = "/inspect"
)

// Paths of the cloud.
const (
	PathMachineTypes   = "/machine_types"
	PathMachines       = "/hosts"
	PathDeleteMachines = "/hosts/delete"
)

// Paths of the key-value store.
const (
	PathTransactions = "/txn"
	PathLeases       = "/grants"
)

// MachinesPath returns the path of a page of the machine list: up to limit machines after the given
// one.
func MachinesPath(after MachineID, limit int) string {
	return PathMachines + "?after=" + url.QueryEscape(string(after)) + "&page=" + strconv.Itoa(limit)
}

// KeyPath returns the path that reads one key.
func KeyPath(key string) string { return "/kv/" + key }

// RangePath returns the path that reads up to limit keys with a prefix. If after is not empty, they
// come after that key.
func RangePath(prefix, after string, limit int) string {
	path := "/kv?starts=" + url.QueryEscape(prefix)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	return path + "&page=" + strconv.Itoa(limit)
}

// WatchPath returns the path that waits up to waitMs for changes after a revision to keys with a
// prefix.
func WatchPath(prefix string, after Revision, waitMs int64) string {
	return "/watch?starts=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(uint64(after), 10) +
		"&block_ms=" + strconv.FormatInt(waitMs, 10)
}

// RenewPath returns the path that renews a lease.
func RenewPath(lease LeaseID) string {
	return PathLeases + "/" + strconv.FormatUint(uint64(lease), 10) + "/renew"
}
