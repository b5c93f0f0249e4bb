// Package cli runs the commands of a program: its arguments, its help and its exit codes,
// the same for all programs of this module. What a command does is the program's.
package cli

import (
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes. They are kong's; the help of every program and docs/operations.md state them.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 80
)

const exitCodesHelp = "\n\nExit codes: 0 when all is done, 1 when a command fails, 80 for wrong arguments. Errors go to standard error."

// Main parses the program's arguments, runs the command that they name, and ends the
// program with ExitFailed or ExitUsage if that goes wrong. commands is a struct with a
// field for each command, as kong has them.
func Main(commands any, name, description string) {
	run(commands, name, description, os.Args[1:])
}

func run(commands any, name, description string, args []string, options ...kong.Option) {
	options = append(options, kong.Name(name), kong.Description(description+exitCodesHelp))
	parser := kong.Must(commands, options...)
	command, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	command.FatalIfErrorf(command.Run())
}
