package simulation

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gappond/gappond/internal/protocol"
)

// spellingsOfOneJob are submissions of the same job. The unknown members name another job.
var spellingsOfOneJob = []string{
	`{"uid":"run-000001","lane":"c","crew":"free","shape":"array","rank":"normal","pieces":2,"cpus":4,"gpus":1,"memory_gb":20,"bundle":"img","pull_gb":1,
		"builds":null,"yard":null,"one_zone":false,"scatter":false,"loaners":false,"expect_s":20,"snapshot_s":0,"flush_s":0,"due_s":null}`,
	`{"uid":"run-000001","UID":"run-000002","lane":"c","crew":"free","Crew":7,"shape":"array","\u017fhape":"gang","rank":"normal","RANK":"idle","pieces":2.0,"PIECES":9,
		"cpus":4e0,"gpus":1.00,"memory_gb":2e1,"bundle":"img","pull_gb":10e-1,"one_zone":false,"scatter":false,"loaners":false,"expect_s":20,"snapshot_s":0,"flush_s":0}`,
	` { "Uid":{"uid":"run-000002"}, "flush_s":0.0 ,"snapshot_s":0,"expect_s":200E-1,"loaners":false,"scatter":false,"one_zone":false,"pull_gb":1,"bundle":"\u0069mg",
		"memory_gb":20.0,"gpus":1,"cpus":4.0,"pieces":20e-1,"ran\u006b":"normal","shape":"\u0061rray","crew":"free","lane":"c","\u0075id":"run\u002d000001","uid ":[] } `,
}

// TestSubmissionInAnotherSpellingIsTheSameJob guards against a submission that is refused, or becomes a
// second job, when it is repeated in another spelling: at other controllers while the first one is
// being decided, and after the job is over.
func TestSubmissionInAnotherSpellingIsTheSameJob(t *testing.T) {
	t.Parallel()
	w := startWorld(95, SmallShape(), 6*time.Second)
	first, err := protocol.ParseJob([]byte(spellingsOfOneJob[0]))
	if err != nil {
		t.Fatal(err)
	}
	u := w.submit(arrival{job: first, run: 10})
	starts := w.rules.started
	w.submitInAllSpellings(t)
	w.waitUntilOver(t, 60*time.Second, u)
	w.expectStarts(t, starts, 2, "for the 2 tasks of the job")
	w.submitInAllSpellings(t)
	w.Run(30 * time.Second)
	w.expectStarts(t, starts, 2, "after the job was over")
	for _, c := range w.nodes {
		if status := w.statusOf(c, statusQuery("run-000002")); status != http.StatusNotFound {
			t.Errorf("status %d for a job that only unknown members name, want 404", status)
		}
	}
	w.expectRulesHeld(t)
}

// submitInAllSpellings sends every spelling of the job to every controller at once, and checks that each
// is accepted as that job.
func (w *World) submitInAllSpellings(t *testing.T) {
	t.Helper()
	for _, spelling := range spellingsOfOneJob {
		job, err := protocol.ParseJob([]byte(spelling))
		if err != nil {
			t.Errorf("%v in %s", err, spelling)
			continue
		}
		for _, c := range w.nodes {
			c.ask(submission(job), func(status int, body []byte) {
				if status != http.StatusOK && status != http.StatusCreated || !strings.Contains(string(body), `"uid":"run-000001"`) {
					t.Errorf("%s responds with %d %s to %s", c.name, status, body, spelling)
				}
			})
		}
	}
	w.Run(time.Second)
}
