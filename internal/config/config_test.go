package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/tuning"
	"github.com/google/go-cmp/cmp"
)

const validSettings = `
host_name = "n0"
domain = "east"
listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
something_new = [1, 2]

[[siblings]]
host_name = "n1"
domain = "west"
addr = "127.0.0.2:8081"

[endpoints]
cloud = "127.0.0.3:8443"
state = "127.0.0.4:2379"

[cluster]
nodes = 2
zones = ["east", "west"]
skew_ms = 5.0

[[cluster.teams]]
name = "red"
gpus = 8.0
gpus_max = 24.0

[cluster.workers]
report_s = 3.0
lease_s = 31.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 51.0

[cluster.state]
rps = 250.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 24

[cluster.cloud]
rps = 8.0
list_lag_s = 5.0

[cluster.resources]
cores = 0.24
memory_mb = 234.0
fd_limit = 2000
`

func TestParseValidSettings(t *testing.T) {
	c, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Peers[0].Addr != "127.0.0.2:8081" || c.Cluster.Teams[0].MaxGPUs != 24 || c.Cluster.Store.TxnOps != 24 {
		t.Errorf("%+v", c)
	}
}

// TestExampleSettingsAreValid checks that the files named in the commands of README.md are valid.
func TestExampleSettingsAreValid(t *testing.T) {
	c, err := Load("../../docs/settings.example.toml", "../../deploy/gappond.properties")
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Cluster.Agents.CancelS != 51 || !c.Operator.RecoveryPhase {
		t.Errorf("%+v", c)
	}
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct{ from, to, wantText string }{
		{`host_name = "n0"`, ``, "host_name"},
		{`host_name = "n1"`, `host_name = "n0"`, "siblings[0]"},
		{`listen = "127.0.0.1:8080"`, `listen = "here"`, "listen"},
		{`"127.0.0.4:2379"`, `"127.0.0.4:99999"`, "endpoints.state"},
		{`zones = ["east", "west"]`, `zones = []`, "cluster.zones"},
		{`cancel_s = 51.0`, `cancel_s = 30.0`, "cancel_s"},
		{`report_s = 3.0`, `report_s = 0.0`, "report_s"},
		{`lease_s = 31.0`, `lease_s = nan`, "lease_s"},
		{`gpus = 8.0`, `gpus = -1.0`, "teams[red].gpus"},
		{`txn_ops = 24`, `txn_ops = 1`, "txn_ops"},
		{`value_kb = 8.0`, `value_kb = "big"`, "value_kb"},
		{`rps = 8.0`, `rps = inf`, "cloud.rps"},
		{`skew_ms = 5.0`, `skew_ms = `, "skew_ms"},
	} {
		if !strings.Contains(validSettings, c.from) {
			t.Fatalf("%q does not occur in the valid settings", c.from)
		}
		_, err := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.wantText) {
			t.Errorf("%q: error %v does not name %s", c.to, err, c.wantText)
		}
	}
}

func TestParseProperties(t *testing.T) {
	o, err := ParseProperties([]byte("# ours\nfleet.idle-return.seconds = 45.5\nfleet.spares-per-zone: 2\nworkers.direct-starts=false\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := tuning.Defaults()
	want.MachineIdleTimeout, want.SparesPerZone, want.DirectStarts = 45500*time.Millisecond, 2, false
	if d := cmp.Diff(want, o); d != "" {
		t.Error(d)
	}
	for _, bad := range []string{"fleet.idle = 3", "fleet.idle-return.seconds = soon", "fleet.idle-return.seconds = -1", "fleet.spares-per-zone = 1.5", "workers.direct-starts = perhaps"} {
		if _, err := ParseProperties([]byte(bad)); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
	for _, k := range Keys() {
		if Doc(k) == "" {
			t.Errorf("property %s has no description", k)
		}
	}
}

// TestAnnouncedStoreLimits checks that of each current and announced limit of the store the
// smaller one applies. The announced limits may be incomplete, larger than the current ones or
// missing. An invalid one is rejected with an error that names its key.
func TestAnnouncedStoreLimits(t *testing.T) {
	for next, want := range map[string]StoreLimits{
		"": {RPS: 250, WriteRPS: 30, ValueKB: 8, TxnOps: 24},
		"[cluster.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 8": {RPS: 250, WriteRPS: 21, ValueKB: 2, TxnOps: 8},
		"[cluster.state.next]\nvalue_kb = 64.0\nrps = 100.0\nnew = true":      {RPS: 100, WriteRPS: 30, ValueKB: 8, TxnOps: 24},
	} {
		c, err := Parse([]byte(validSettings + next))
		if err != nil {
			t.Fatalf("%q: %v", next, err)
		}
		if got := c.Cluster.Store.Smallest(); got != want {
			t.Errorf("%q: smallest limits are %+v", next, got)
		}
		if got := c.Cluster.CurrentStoreLimits(); got.ValueKB != 8 || got.TxnOps != 24 || got.WriteRPS != 30 {
			t.Errorf("%q: current limits are %+v", next, got)
		}
	}
	for _, bad := range []string{"value_kb = 0.0", "value_kb = -1.0", "txn_ops = 0", "txn_ops = -3", "write_rps = 0.0", "rps = -5.0", "value_kb = nan"} {
		name, _, _ := strings.Cut(bad, " ")
		if _, err := Parse([]byte(validSettings + "[cluster.state.next]\n" + bad)); err == nil || !strings.Contains(err.Error(), "cluster.state.next."+name) {
			t.Errorf("%s: error %v does not name the key", bad, err)
		}
	}
}

// TestUnknownObjectivesAreListedOnce checks that objectives of unknown kinds are valid and that
// each unknown kind is returned once. The kinds in the operators' documentation are known.
func TestUnknownObjectivesAreListedOnce(t *testing.T) {
	text := validSettings
	for _, kind := range []string{"wait", "finished", "deadline", "guarantee", "up", "harmony", "harmony", "haste"} {
		text = strings.Replace(text, "[cluster.workers]", "[[cluster.objectives]]\nkind = \""+kind+"\"\nclass = \"c\"\nwithin_s = 5.0\nnew = 1\n\n[cluster.workers]", 1)
	}
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"harmony", "haste"}, c.Cluster.UnknownObjectives()); d != "" {
		t.Error(d)
	}
}

// TestErrorsNameEveryProblem checks that one error names all problems of a file, each with the
// key, the value and what is allowed. The texts are those of version 0.5.
func TestErrorsNameEveryProblem(t *testing.T) {
	bad := validSettings
	for _, c := range [][2]string{
		{`host_name = "n0"`, ``}, {`listen = "127.0.0.1:8080"`, `listen = "here"`}, {`"127.0.0.4:2379"`, `"127.0.0.4:99999"`},
		{`host_name = "n1"`, `host_name = ""`}, {`addr = "127.0.0.2:8081"`, ``}, {`zones = ["east", "west"]`, `zones = []`},
		{`skew_ms = 5.0`, `skew_ms = -1.5`}, {`name = "red"`, ``}, {`gpus = 8.0`, `gpus = -1.0`}, {`report_s = 3.0`, `report_s = 0.0`},
		{`cancel_s = 51.0`, `cancel_s = 30.0`}, {`value_kb = 8.0`, `value_kb = nan`}, {`txn_ops = 24`, `txn_ops = 1`},
		{`fd_limit = 2000`, `fd_limit = -3`},
	} {
		if !strings.Contains(bad, c[0]) {
			t.Fatalf("%q does not occur in the valid settings", c[0])
		}
		bad = strings.Replace(bad, c[0], c[1], 1)
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	for text, want := range map[string]string{
		bad: `host_name is missing
listen: "here" is not host:port
endpoints.state: "127.0.0.4:99999" has no valid port
siblings[0].host_name: "" is empty or used twice
siblings[0].addr: "" is not host:port
cluster.zones is empty
cluster.skew_ms: -1.5 must be 0 or more
cluster.teams[0].name: "" is empty or used twice
cluster.teams[].gpus: -1 must be 0 or more
cluster.workers.report_s: 0 must be above 0
cluster.workers.cancel_s: 30 must be above lease_s (31), or a cut-off worker outlives a cancellation
cluster.state.value_kb: NaN is too small for a job's record (2 at least)
cluster.state.txn_ops: 1 is too small (4 at least)
cluster.resources.fd_limit: -3 must be 0 or more`,
		"host_name = 7\n": "1| host_name = 7\n |             ~ cannot decode TOML integer into struct field config.Config.Name of type protocol.NodeName",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(file, "")
		if err == nil {
			t.Fatal("invalid settings are accepted")
		}
		if d := cmp.Diff(file+": "+want, err.Error()); d != "" {
			t.Error(d)
		}
	}
	_, err := ParseProperties([]byte("fleet.idle = 3\nfleet.idle-return.seconds = soon\nfleet.spares-per-zone = 1.5\nworkers.direct-starts = perhaps\n"))
	want := `fleet.idle: no such key; known are [fleet.idle-return.seconds fleet.spares-per-zone fleet.zone-reserve queue.bar-after.seconds recovery.phase workers.direct-starts]
fleet.idle-return.seconds: "soon" is not a number of seconds from 0 to 86400
fleet.spares-per-zone: "1.5" is not a number from 0 to 100000
workers.direct-starts: "perhaps" is neither true nor false`
	if err == nil {
		t.Fatal("invalid properties are accepted")
	}
	if d := cmp.Diff(want, err.Error()); d != "" {
		t.Error(d)
	}
}

// TestErrorsAs checks that callers can find each invalid setting inside an error about a file, the
// path of a value of the wrong type, and each unknown key.
func TestErrorsAs(t *testing.T) {
	_, err := Parse([]byte(strings.NewReplacer("report_s = 3.0", "report_s = 0.0", `listen = "127.0.0.1:8080"`, `listen = "here"`).Replace(validSettings)))
	err = &FileError{File: "settings.toml", Err: err}
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("%T", err)
	}
	if d := cmp.Diff([]error{
		&SettingError{Key: "listen", Value: `"here"`, Problem: "is not host:port"},
		&SettingError{Key: "cluster.workers.report_s", Value: "0", Problem: "must be above 0"},
	}, invalid.Problems); d != "" {
		t.Error(d)
	}
	_, err = Parse([]byte(strings.Replace(validSettings, "value_kb = 8.0", `value_kb = "big"`, 1)))
	var syntax *SyntaxError
	if !errors.As(err, &syntax) || syntax.Key != "cluster.state.value_kb" {
		t.Errorf("%#v", err)
	}
	_, err = ParseProperties([]byte("fleet.idle = 3\n"))
	var unknown *UnknownKeyError
	if !errors.As(err, &unknown) || unknown.Key != "fleet.idle" {
		t.Errorf("%#v", err)
	}
}
