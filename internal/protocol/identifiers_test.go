package protocol

import "testing"

// TestHeartbeatErrorsNameWireTypes: an agent is told of a field of a wrong type in the types of JSON,
// to the byte as before identifiers had types of their own.
func TestHeartbeatErrorsNameWireTypes(t *testing.T) {
	for field, want := range map[string]string{
		"berth":   "of type string",
		"address": "of type string",
		"build":   "of type string",
		"yard":    "of type string",
		"loaners": "of type bool",
		"tenure":  "of type uint64",
		"tally":   "of type uint64",
		"warrant": "of type uint64",
	} {
		_, err := ParseHeartbeat([]byte(`{"` + field + `":-1}`))
		kind := "number"
		if want == "of type uint64" {
			kind = "number -1"
		}
		want = "not valid JSON for a report: json: cannot unmarshal " + kind + " into Go struct field Report." + field + " " + want
		if err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
	for field, want := range map[string]string{"piece": "string", "phase": "protocol.TaskState", "cause": "protocol.Cause"} {
		_, err := ParseHeartbeat([]byte(`{"berth":"i-1","tenure":1,"pieces":[{"` + field + `":7}]}`))
		want = "not valid JSON for a report: json: cannot unmarshal number into Go struct field TaskReport.pieces." + field + " of type " + want
		if err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
	_, err := ParseHeartbeat([]byte(`{"berth":"i-1","tenure":1,"pieces":[{"try":"x"}]}`))
	const want = "not valid JSON for a report: json: cannot unmarshal string into Go struct field TaskReport.pieces.try of type uint64"
	if err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
	for body, want := range map[string]string{
		`[]`:                          "array into Go value of type protocol.Report",
		`7`:                           "number into Go value of type protocol.Report",
		`{"pieces":{}}`:               "object into Go struct field Report.pieces of type []protocol.TaskReport",
		`{"pieces":[1]}`:              "number into Go struct field Report.pieces of type protocol.TaskReport",
		`{"recall_s":"soon"}`:         "string into Go struct field Report.recall_s of type float64",
		`{"pieces":[{"kept":"yes"}]}`: "string into Go struct field TaskReport.pieces.kept of type bool",
	} {
		_, err := ParseHeartbeat([]byte(body))
		want = "not valid JSON for a report: json: cannot unmarshal " + want
		if err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", body, err, want)
		}
	}
}
