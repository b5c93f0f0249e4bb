// Command gappond is a cluster scheduler: see README.md. Its subcommand serve runs a controller
// until it receives an interrupt or SIGTERM, check-config checks the settings and prints the
// operators' settings in force, and version prints the version.
//
// It exits with code 0 on success, 1 when a command fails, for example because a setting is invalid
// or an address is in use, and 80 for invalid arguments.
package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/gappond/gappond/internal/cli"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/transport"
	"github.com/gappond/gappond/internal/tuning"
)

// version is set by the release build.
var version = "0.5.0"

// settings holds the paths of the settings files that a command reads.
type settings struct {
	Config     string `required:"" placeholder:"FILE" help:"The platform's settings (TOML)."`
	Properties string `placeholder:"FILE" env:"GAPPOND_PROPERTIES" help:"The operators' settings (Java-style properties)."`
}

type (
	serveCommand   struct{ settings }
	checkCommand   struct{ settings }
	versionCommand struct{}
)

var commands struct {
	Serve       serveCommand   `cmd:"" help:"Run a controller."`
	CheckConfig checkCommand   `cmd:"" help:"Check the settings and print what is in force."`
	Version     versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	cli.Main(&commands, "gappond", "A cluster scheduler that places gangs whole and repairs them.")
}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("gappond", version)
	return nil
}

// Run checks the settings and prints the operators' settings in force.
func (c checkCommand) Run() error {
	cfg, err := config.Load(c.Config, c.Properties)
	if err != nil {
		return err
	}
	fmt.Printf("%s: sound: node %s in %s, %d peers (siblings), %d teams\n", c.Config, cfg.Name, cfg.Zone, len(cfg.Peers), len(cfg.Cluster.Teams))
	if c.Properties != "" {
		fmt.Printf("%s: sound\n", c.Properties)
	}
	for _, key := range config.Keys() {
		fmt.Printf("%s = %s  # %s\n", key, cfg.Value(key), config.Doc(key))
	}
	return nil
}

// Run runs a controller until a signal stops it.
func (c serveCommand) Run() error {
	cfg, err := config.Load(c.Config, c.Properties)
	if err != nil {
		return err
	}
	log, err := newLogger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	// One goroutine, the event loop, does nearly all the work, on a share of one core.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(tuning.GCPercent)
	if mb := cfg.Cluster.Process.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * tuning.GCMemoryShare * (1 << 20)))
	}
	seed, bootID, err := newBootIdentity()
	if err != nil {
		return err
	}
	warnUnknownObjectives(log, cfg)
	node := coordination.New(cfg, log, seed, bootID)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info("serving", "node", cfg.Name, "listen", cfg.Listen, "version", version)
	return transport.NewController(cfg, log, node).Run(ctx)
}

// newBootIdentity returns a seed for a controller's random numbers and an ID of this run of the
// process.
func newBootIdentity() (seed uint64, id string, err error) {
	var random [16]byte
	if _, err := crand.Read(random[:]); err != nil {
		return 0, "", fmt.Errorf("read random numbers: %w", err)
	}
	return binary.LittleEndian.Uint64(random[8:]), hex.EncodeToString(random[:8]), nil
}

// warnUnknownObjectives logs the kinds of objectives that are ignored.
func warnUnknownObjectives(log *slog.Logger, cfg *config.Config) {
	if kinds := cfg.Cluster.UnknownObjectives(); len(kinds) > 0 {
		log.Warn("objectives of unknown kinds are ignored", "kinds", kinds)
	}
}

// newLogger returns a logger that writes to standard error from the given level on. An empty level
// means info.
func newLogger(level string) (*slog.Logger, error) {
	threshold := slog.LevelInfo
	switch level {
	case "", "info":
	case "error":
		threshold = slog.LevelError
	case "debug":
		threshold = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: threshold})), nil
}
