package cli

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

type doneCommand struct{}

func (doneCommand) Run() error { return nil }

type failingCommand struct{}

func (failingCommand) Run() error { return errors.New("the disk is full") }

// exit is the panic value by which a program in a test exits.
type exit struct{ code int }

// TestExitCodes checks that a program exits with the codes that its help states and writes the
// reason to standard error.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{args: []string{"done"}, code: ExitDone},
		{args: []string{"fail"}, code: ExitFailed, stderr: "program: error: the disk is full\n"},
		{args: []string{"nothing"}, code: ExitUsage, stderr: "unexpected argument nothing"},
		{args: nil, code: ExitUsage, stderr: `expected one of "done", "fail"`},
		{args: []string{"done", "--wrong"}, code: ExitUsage, stderr: "unknown flag --wrong"},
		{args: []string{"--help"}, code: ExitDone, stdout: "Exit codes: 0 when all is done, 1 when a command fails, 80 for wrong"},
	} {
		var commands struct {
			Done doneCommand    `cmd:""`
			Fail failingCommand `cmd:""`
		}
		var stdout, stderr bytes.Buffer
		code := exitCode(func(end func(int)) {
			run(&commands, "program", "Does things.", c.args, kong.Exit(end), kong.Writers(&stdout, &stderr))
		})
		if code != c.code || !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr) || (c.stderr == "") != (stderr.Len() == 0) {
			t.Errorf("%v: exit code %d, stdout %q, stderr %q", c.args, code, stdout.String(), stderr.String())
		}
	}
}

// exitCode returns the code with which a program exits. Like os.Exit, end does not return.
func exitCode(program func(end func(int))) (code int) {
	defer func() {
		if r := recover(); r != nil {
			code = r.(exit).code
		}
	}()
	program(func(code int) { panic(exit{code}) })
	return ExitDone
}
