package protocol

import (
	"net/url"
	"strconv"
)

// Paths of the service itself.
const (
	PathJobs      = "/v2/runs"
	PathReady     = "/ready"
	PathHeartbeat = "/checkin"
	// PathMetrics serves the operators' metrics.
	PathMetrics = "/metrics"
	// CancelAction follows a job's path to cancel it.
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

// MachinesPath asks for a page of the machine list.
func MachinesPath(after MachineID, limit int) string {
	return PathMachines + "?after=" + url.QueryEscape(string(after)) + "&page=" + strconv.Itoa(limit)
}

// KeyPath reads one key.
func KeyPath(key string) string { return "/kv/" + key }

// RangePath reads keys by prefix.
func RangePath(prefix, after string, limit int) string {
	path := "/kv?starts=" + url.QueryEscape(prefix)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	return path + "&page=" + strconv.Itoa(limit)
}

// WatchPath waits for changes below a prefix.
func WatchPath(prefix string, after Revision, waitMs int64) string {
	return "/watch?starts=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(uint64(after), 10) +
		"&block_ms=" + strconv.FormatInt(waitMs, 10)
}

// RenewPath renews a lease.
func RenewPath(lease LeaseID) string {
	return PathLeases + "/" + strconv.FormatUint(uint64(lease), 10) + "/renew"
}
