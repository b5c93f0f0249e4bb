// Package cli runs the commands of a program. It gives all programs of this module the same
// handling of arguments, help and exit codes. Each program defines what its commands do.
package cli

import (
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes. kong defines them. The help of every program and docs/operations.md name them.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 80
)

const exitCodesHelp = "\n\nExit codes: 0 when all is done, 1 when a command fails, 80 for wrong arguments. Errors go to standard error."

// Main parses the program's arguments and runs the command that they name. It exits with
// ExitUsage if the arguments are invalid and with ExitFailed if the command fails. commands is a
// pointer to a struct with a field for each command, as kong expects it.
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
