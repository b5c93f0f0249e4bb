package protocol

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validJob = `{"uid":"run-000412","lane":"train","crew":"vision","shape":"gang","rank":"high","pieces":16,
"cpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
"builds":["g8"],"yard":null,"one_zone":true,"scatter":false,"loaners":true,
"expect_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0}`

func TestParseJob(t *testing.T) {
	got, err := ParseJob([]byte(validJob))
	if err != nil {
		t.Fatal(err)
	}
	want := &Job{ID: "run-000412", Class: "train", Team: "vision", Shape: ShapeGang, Priority: "high", Tasks: 16,
		CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []MachineTypeName{"g8"}, OneZone: true, Spot: true,
		EstimateS: 240, CheckpointIntervalS: 30, CheckpointSaveS: 4, DeadlineS: 900}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// withField returns validJob with another value of a field, or without the field if value is "".
func withField(t *testing.T, field, value string) []byte {
	var m map[string]json.RawMessage
	if err := json.Unmarshal([]byte(validJob), &m); err != nil {
		t.Fatal(err)
	}
	if value == "" {
		delete(m, field)
	} else {
		m[field] = json.RawMessage(value)
	}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestParseJobRejectsInvalidJobs(t *testing.T) {
	for _, body := range []string{"", "null", "[]", "7", `"x"`, "{", validJob + "x", strings.Replace(validJob, "240.0", "NaN", 1)} {
		if _, err := ParseJob([]byte(body)); err == nil {
			t.Errorf("%.20q is accepted", body)
		}
	}
	invalid := map[string][]string{
		"uid":        {"", "null", `"job-1"`, `"run-"`, `"run-1x"`, `"run-1/2"`, "5"},
		"lane":       {"", "null", `""`, "1"},
		"crew":       {"", "null"},
		"shape":      {"", `"ring"`, "1"},
		"rank":       {"", `"urgent"`},
		"pieces":     {"", "0", "100001", "-1", "1.5", `"3"`},
		"cpus":       {"", "-1", `"8"`, "null", "1e400"},
		"gpus":       {"", "-0.5"},
		"memory_gb":  {"", "-1"},
		"bundle":     {"", `""`},
		"pull_gb":    {"", "-1"},
		"expect_s":   {"", "-1"},
		"snapshot_s": {"", "-1"},
		"flush_s":    {"", "-1"},
		"due_s":      {"-1", `"x"`},
		"builds":     {`"g8"`, "[1]", `[null]`, `[""]`},
		"yard":       {"3", `""`},
		"one_zone":   {"", "1", "null"},
		"scatter":    {"", `"no"`},
		"loaners":    {"", "0"},
	}
	for field, values := range invalid {
		for _, v := range values {
			if _, err := ParseJob(withField(t, field, v)); err == nil {
				t.Errorf("%s = %q is accepted", field, v)
			}
		}
	}
}

// TestParseJobAcceptsMissingOptionalFields checks that fields that may be null may also be missing,
// and that unknown fields are ignored.
func TestParseJobAcceptsMissingOptionalFields(t *testing.T) {
	for _, field := range []string{"builds", "yard", "due_s"} {
		for _, v := range []string{"", "null"} {
			if _, err := ParseJob(withField(t, field, v)); err != nil {
				t.Errorf("%s = %q: %v", field, v, err)
			}
		}
	}
	if _, err := ParseJob(withField(t, "later", `{"a":[1]}`)); err != nil {
		t.Error(err)
	}
	// An empty list allows no type, unlike null.
	spec, err := ParseJob(withField(t, "builds", "[]"))
	if err != nil || TypeAllowed(spec.Types, "g8") {
		t.Errorf("empty list of types: g8 is allowed, or error %v", err)
	}
}

// TestParseJobLimitsEncodedSize checks that a job is rejected if its encoded description is too
// large for its record.
func TestParseJobLimitsEncodedSize(t *testing.T) {
	long := `"` + strings.Repeat("\\u0001", 90) + `"`
	body := withField(t, "lane", long)
	if _, err := ParseJob(body); err != nil {
		t.Errorf("a job with one long name is rejected: %v", err)
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal([]byte(validJob), &m); err != nil {
		t.Fatal(err)
	}
	for _, f := range []string{"lane", "crew", "bundle", "yard"} {
		m[f] = json.RawMessage(long)
	}
	m["builds"] = json.RawMessage("[" + strings.Repeat(long[:200]+`",`, 20) + `"x"]`)
	b, _ := json.Marshal(m)
	if spec, err := ParseJob(b); err == nil {
		t.Errorf("a description of %d bytes is accepted", len(mustJSON(spec)))
	}
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func TestParseHeartbeatAcceptsUnknownValues(t *testing.T) {
	heartbeat, err := ParseHeartbeat([]byte(`{"berth":"i-1","tenure":2,"tally":9,"mood":"good","recall_s":12.5,
		"pieces":[{"piece":"run-1/0","try":1,"phase":"napping","cause":"bored","x":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if heartbeat.Tasks[0].State != "napping" || *heartbeat.PreemptionNoticeS != 12.5 {
		t.Errorf("%+v", heartbeat)
	}
	for _, bad := range []string{"", "[]", `{"berth":"","tenure":1}`, `{"berth":"a b","tenure":1}`, `{"berth":"a"}`, `{"berth":"a","tenure":-1}`} {
		if _, err := ParseHeartbeat([]byte(bad)); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

func TestHeartbeatNewerThan(t *testing.T) {
	heartbeat := &Heartbeat{Incarnation: 2, Sequence: 5}
	for _, c := range []struct {
		incarnation Incarnation
		sequence    Sequence
		want        bool
	}{{1, 9, true}, {2, 4, true}, {2, 5, false}, {3, 1, false}} {
		if heartbeat.NewerThan(c.incarnation, c.sequence) != c.want {
			t.Errorf("newer than %d/%d: %v", c.incarnation, c.sequence, !c.want)
		}
	}
}

func TestStopCommandIncludesZeroGrace(t *testing.T) {
	got := string(mustJSON([]Command{{Kind: CommandStop, Task: "run-1/0", Attempt: 2}, {Kind: CommandStart, Task: "run-1/1", Attempt: 1}}))
	want := `[{"verb":"halt","piece":"run-1/0","try":2,"leeway_s":0},{"verb":"start","piece":"run-1/1","try":1}]`
	if got != want {
		t.Errorf("got %s", got)
	}
}

func samplePeerMessages() []PeerMessage {
	n := 7.5
	return []PeerMessage{
		PeerHello{Node: "a"},
		PeerStatus{Term: 9, Leader: "b", HasStoreAccess: true, Links: []NodeName{"a", "c"}, DirectShare: 250},
		PeerAgentCall{ID: 4, Origin: "a", Address: "h:1", Body: []byte("{}")},
		PeerCancellation{Job: "run-000412"},
		PeerConfirmationRequest{ID: 1 << 40},
		PeerConfirmation{ID: 1 << 40, UptimeMs: 7000, Complete: true, Cancellations: []JobID{"run-000412", "run-2"}},
		PeerConfirmation{ID: 3, Term: 9},
		PeerAnswerNotice{ID: 1 << 40, Origin: "a", Target: "b", Hops: 1, Job: "run-000412", Phase: PhaseDone, Done: 7},
		PeerAnswerConfirmation{ID: 1 << 40, Origin: "b", Target: "a", Hops: 1, Job: "run-000412"},
		FeatureLevelAnnouncement("berth-1"),
		PeerForwardedHeartbeat{ID: 1, Origin: "a", Target: "b", Hops: 1, Heartbeat: &Heartbeat{Machine: "i-1", Address: "h:1", Type: "t", Zone: "z", Spot: true,
			Incarnation: 2, Sequence: 3, FencingToken: 4, PreemptionNoticeS: &n, Tasks: []TaskStatus{{Task: "run-1/0", Attempt: 1, State: TaskExited, Cause: CauseDone, Saved: true}}}},
		PeerResponse{ID: 1, Target: "a", Status: 200, Body: []byte(`{}`)},
		PeerUserRequest{ID: 5, Origin: "a", Target: "c", Operation: "submit", Job: "run-1", Body: []byte(`{"x":1}`)},
	}
}

func TestPeerFrameRoundTrip(t *testing.T) {
	var stream []byte
	for _, m := range samplePeerMessages() {
		stream = AppendPeerFrame(stream, m)
	}
	r := bytes.NewReader(stream)
	for _, want := range samplePeerMessages() {
		got, err := ReadPeerFrame(r)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
}

func TestReadPeerFrameRejectsInvalidFrames(t *testing.T) {
	valid := AppendPeerFrame(nil, PeerHello{Node: "a"})
	withByte := func(at int, b byte) []byte {
		c := bytes.Clone(valid)
		c[at] = b
		return c
	}
	for name, frame := range map[string][]byte{
		"magic bytes": withByte(0, 'X'), "version": withByte(2, 0), "kind": withByte(3, 99), "too large": withByte(4, 0xff),
		"string length": withByte(peerHeaderBytes, 200), "trailing byte": append(withByte(7, 3), 0),
	} {
		if m, err := ReadPeerFrame(bytes.NewReader(frame)); !errors.Is(err, ErrFrame) {
			t.Errorf("%s: %v, %v", name, m, err)
		}
	}
	if _, err := ReadPeerFrame(bytes.NewReader(valid[:len(valid)-1])); err == nil {
		t.Error("a truncated frame is accepted")
	}
}

func FuzzReadPeerFrame(f *testing.F) {
	for _, m := range samplePeerMessages() {
		f.Add(AppendPeerFrame(nil, m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ReadPeerFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		again, err := ReadPeerFrame(bytes.NewReader(AppendPeerFrame(nil, m)))
		if err != nil {
			t.Fatalf("%+v cannot be read after it was written: %v", m, err)
		}
		if !bytes.Equal(AppendPeerFrame(nil, m), AppendPeerFrame(nil, again)) {
			t.Errorf("%+v is read as %+v after it was written", m, again)
		}
	})
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte(`{"uid":"run-1"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		spec, err := ParseJob(b)
		if err != nil {
			return
		}
		if spec.Tasks < 1 || spec.Tasks > MaxTasks || !ValidJobID(spec.ID) || spec.CPUs < 0 || len(mustJSON(spec)) > MaxJobBytes {
			t.Errorf("%+v is accepted", spec)
		}
	})
}

func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"berth":"i-1","tenure":1,"tally":2,"pieces":[{"piece":"run-1/0","try":1,"phase":"running"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if heartbeat, err := ParseHeartbeat(b); err == nil {
			for _, task := range heartbeat.Tasks {
				SplitTask(task.Task)
			}
			AppendPeerFrame(nil, PeerForwardedHeartbeat{Heartbeat: heartbeat})
		}
	})
}

// TestFramesOfEarlierVersions checks that frames written by versions 0.2 and 0.3 can be read, and
// that writing the messages again gives the same bytes. During an upgrade this version runs
// together with them, and they close a link when they receive a frame of another form. A feature
// level announcement is a frame of a kind that both versions support; only its level differs.
func TestFramesOfEarlierVersions(t *testing.T) {
	for version, wantKinds := range map[string]int{"0.2": 6, "0.3": 9} {
		data, err := os.ReadFile("testdata/frames-" + version + ".txt")
		if err != nil {
			t.Fatal(err)
		}
		kinds := map[byte]bool{}
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			_, text, _ := strings.Cut(line, " ")
			frame, err := hex.DecodeString(text)
			if err != nil {
				t.Fatal(err)
			}
			m, err := ReadPeerFrame(bytes.NewReader(frame))
			if err != nil {
				t.Errorf("%s: %s: %v", version, line, err)
				continue
			}
			kinds[m.kind()] = true
			if got := AppendPeerFrame(nil, m); !bytes.Equal(got, frame) {
				t.Errorf("%s: %T is written as %x, want %x", version, m, got, frame)
			}
			if level, ok := AnnouncedFeatureLevel(m); ok && (version != "0.3" || level != FeatureLevelCancellations || level >= CurrentFeatureLevel) {
				t.Errorf("%s announces feature level %d", version, level)
			}
		}
		if len(kinds) != wantKinds || !kinds[FeatureLevelAnnouncement("a").kind()] || kinds[PeerCancellation{}.kind()] != (version == "0.3") {
			t.Errorf("%s: kinds %v", version, kinds)
		}
	}
}

// TestParseServiceJob checks which field values are valid for a service.
func TestParseServiceJob(t *testing.T) {
	validService := strings.Replace(strings.Replace(validJob, `"gang"`, `"standing"`, 1), "240.0", "0", 1)
	serviceWith := func(name, value string) []byte {
		i := strings.Index(validService, `"`+name+`":`) + len(name) + 3
		j := i + strings.IndexAny(validService[i:], ",}")
		return []byte(validService[:i] + value + validService[j:])
	}
	for name, values := range map[string][]string{"expect_s": {"0", "120"}, "due_s": {"null", "900"}, "snapshot_s": {"0", "30"}, "pieces": {"1", "100000"}} {
		for _, v := range values {
			if spec, err := ParseJob(serviceWith(name, v)); err != nil || !spec.Service() || spec.Gang() {
				t.Errorf("%s %s: %v", name, v, err)
			}
		}
	}
	for name, values := range map[string][]string{"expect_s": {"-1", "null", `"x"`, "1e999"}, "pieces": {"0", "100001"}, "due_s": {"-1"}, "shape": {`"Standing"`, `"service"`}} {
		for _, v := range values {
			if _, err := ParseJob(serviceWith(name, v)); err == nil {
				t.Errorf("%s %s is accepted", name, v)
			}
		}
	}
}
