// Command recoverybench measures cold restarts, in which all controllers fail while jobs are
// running and return together. It runs the controllers as processes on loopback, or in a
// simulation with a fake clock, and generates a report from the measurements.
// docs/cold-restart.md explains the figures.
//
// It exits with code 0 on success, 1 when a command fails, and 80 for invalid arguments.
// Simulation rules that are broken in a measurement are part of its result and not a failure of
// the command.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gappond/gappond/internal/cli"
	"github.com/gappond/gappond/internal/simulation"
)

var commands struct {
	Loopback  loopbackCommand  `cmd:"" help:"Real time, real processes on loopback, several programs in turn."`
	Simulated simulatedCommand `cmd:"" help:"This program's own state machine on a fake clock."`
	Report    reportCommand    `cmd:"" help:"An HTML page with tables and plots of measured files."`
}

func main() {
	cli.Main(&commands, "recoverybench", "Measures cold restarts of gappond's controllers.")
}

// Measurement is the result of one cold restart.
type Measurement struct {
	Source   string // name given to the measured program
	Kind     string // loopback or simulated
	Machines int
	Run      int
	Result   simulation.ColdResult
}

// measurementOptions are the options of the commands that measure.
type measurementOptions struct {
	Machines []int         `default:"50,100,200" help:"Numbers of machines."`
	Runs     int           `default:"3" help:"Runs of each, with seeds from 1 on."`
	Before   time.Duration `default:"20s" help:"From the first job to the loss."`
	Away     time.Duration `default:"5s" help:"How long no controller is up."`
	After    time.Duration `default:"25s" help:"For how long orders are judged."`
	Out      string        `required:"" placeholder:"FILE" help:"Measurements are appended to it, a JSON object a line."`
}

// coldRestart returns a cold restart with the given number of machines.
func (o *measurementOptions) coldRestart(machines int, recovery bool) simulation.ColdRestart {
	return simulation.ColdRestart{Machines: machines, Before: o.Before, Away: o.Away, After: o.After, Recovery: recovery}
}

// appendMeasurement appends a measurement to the output file and prints a summary of it.
func (o *measurementOptions) appendMeasurement(m Measurement) error {
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(o.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(append(line, '\n'))
	r := m.Result
	fmt.Printf("%s %s %d machines, run %d: %d duplicate starts, orders in excess %v, %.0f of %.0f s kept, last start after %v, %d rules broken\n",
		m.Kind, m.Source, m.Machines, m.Run, r.DuplicateStarts, r.Excess, r.KeptSeconds, r.BeforeSeconds, r.Last.Round(time.Millisecond), len(r.Rules))
	return err
}

// Kinds of measurements.
const (
	kindLoopback  = "loopback"
	kindSimulated = "simulated"
)

// forEachRun calls measure for each run with each number of machines.
func (o *measurementOptions) forEachRun(measure func(machines, run int) error) error {
	for _, machines := range o.Machines {
		for run := 1; run <= o.Runs; run++ {
			if err := measure(machines, run); err != nil {
				return fmt.Errorf("%d machines, run %d: %w", machines, run, err)
			}
		}
	}
	return nil
}

type loopbackCommand struct {
	measurementOptions
	Program []string `required:"" placeholder:"NAME=COMMAND" help:"A program to measure with its arguments, as often as there are; played in turn."`
}

// Run measures each program in turn.
func (c *loopbackCommand) Run() error {
	programs, err := parsePrograms(c.Program)
	if err != nil {
		return err
	}
	return c.forEachRun(func(machines, run int) error {
		for _, p := range programs {
			result, err := measureProcesses(c.coldRestart(machines, false), uint64(run), p.command)
			if err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
			if err := c.appendMeasurement(Measurement{p.name, kindLoopback, machines, run, result}); err != nil {
				return err
			}
		}
		return nil
	})
}

type program struct {
	name    string
	command []string // with its arguments
}

// parsePrograms parses programs in the form NAME=COMMAND.
func parsePrograms(specs []string) (list []program, err error) {
	for _, spec := range specs {
		name, command, ok := strings.Cut(spec, "=")
		if !ok || command == "" {
			return nil, fmt.Errorf("--program %s: not NAME=COMMAND", spec)
		}
		list = append(list, program{name, strings.Fields(command)})
	}
	return list, nil
}

type simulatedCommand struct {
	measurementOptions
	Name     string `required:"" help:"The name to give to this program."`
	Recovery bool   `help:"Have recoveries followed."`
}

// Run measures this program's own state machine.
func (c *simulatedCommand) Run() error {
	return c.forEachRun(func(machines, run int) error {
		result, err := c.coldRestart(machines, c.Recovery).Simulate(uint64(run))
		if err != nil {
			return err
		}
		return c.appendMeasurement(Measurement{c.Name, kindSimulated, machines, run, result})
	})
}
