package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"github.com/gappond/gappond/internal/simulation"
	"github.com/pelletier/go-toml/v2"
)

// processControllers runs each controller as a process.
type processControllers struct {
	command []string // the program and its arguments other than the settings file
	dir     string
	running []*exec.Cmd
}

// measureProcesses runs a cold restart of three controllers, each a process of a program.
func measureProcesses(restart simulation.ColdRestart, seed uint64, command []string) (simulation.ColdResult, error) {
	dir, err := os.MkdirTemp("", "recoverybench")
	if err != nil {
		return simulation.ColdResult{}, err
	}
	defer os.RemoveAll(dir)
	p := &processControllers{command: command, dir: dir}
	defer p.Kill()
	return restart.RunOnLoopback(seed, p)
}

// Start implements simulation.Controllers.
func (p *processControllers) Start(loopback *simulation.Loopback) error {
	for i := range loopback.Controllers() {
		settings, err := toml.Marshal(loopback.Config(i))
		if err != nil {
			return err
		}
		file := filepath.Join(p.dir, string(loopback.Config(i).Name)+".toml")
		if err := os.WriteFile(file, settings, 0o644); err != nil {
			return err
		}
		cmd := exec.Command(p.command[0], slices.Concat([]string{"serve", "--config", file}, p.command[1:])...)
		cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			return err
		}
		p.running = append(p.running, cmd)
	}
	return nil
}

// Kill implements simulation.Controllers.
func (p *processControllers) Kill() {
	for _, cmd := range p.running {
		cmd.Process.Kill() // the process may already have exited
	}
	for _, cmd := range p.running {
		cmd.Wait() // the error would only say that the process was killed
	}
	p.running = nil
}
