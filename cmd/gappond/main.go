// Command gappond is a cluster scheduler: see README.md.
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

	"github.com/alecthomas/kong"
	"github.com/gappond/gappond/internal/config"
	"github.com/gappond/gappond/internal/coordination"
	"github.com/gappond/gappond/internal/transport"
	"github.com/gappond/gappond/internal/tuning"
)

// version is set by the release build.
var version = "0.5.0"

type settings struct {
	Config     string `required:"" placeholder:"FILE" help:"The platform's settings (TOML)."`
	Properties string `placeholder:"FILE" env:"GAPPOND_PROPERTIES" help:"The operators' settings (Java-style properties)."`
}

type serveCmd struct{ settings }
type checkCmd struct{ settings }
type versionCmd struct{}

var cli struct {
	Serve       serveCmd   `cmd:"" help:"Run a controller."`
	CheckConfig checkCmd   `cmd:"" help:"Check the settings and print what is in force."`
	Version     versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("gappond"), kong.Description("A cluster scheduler that places gangs whole and repairs them."))
	ctx.FatalIfErrorf(ctx.Run())
}

func (versionCmd) Run() error {
	fmt.Println("gappond", version)
	return nil
}

func (c checkCmd) Run() error {
	cfg, err := config.Load(c.Config, c.Properties)
	if err != nil {
		return err
	}
	fmt.Printf("%s: sound: node %s in %s, %d siblings, %d teams\n", c.Config, cfg.Name, cfg.Zone, len(cfg.Peers), len(cfg.Cluster.Teams))
	if c.Properties != "" {
		fmt.Printf("%s: sound\n", c.Properties)
	}
	for _, key := range config.Keys() {
		fmt.Printf("%s = %s  # %s\n", key, cfg.Value(key), config.Doc(key))
	}
	return nil
}

func (c serveCmd) Run() error {
	cfg, err := config.Load(c.Config, c.Properties)
	if err != nil {
		return err
	}
	log, err := logger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	// One owner does nearly all the work, on a share of one core.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(tuning.GCPercent)
	if mb := cfg.Cluster.Resources.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * tuning.GCMemoryShare * (1 << 20)))
	}
	var boot [16]byte
	if _, err := crand.Read(boot[:]); err != nil {
		return err
	}
	warnOfObjectives(log, cfg)
	node := coordination.New(cfg, log, binary.LittleEndian.Uint64(boot[8:]), hex.EncodeToString(boot[:8]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info("serving", "node", cfg.Name, "listen", cfg.Listen, "version", version)
	return transport.NewOwner(cfg, log, node).Run(ctx)
}

// warnOfObjectives names the objectives that have no effect.
func warnOfObjectives(log *slog.Logger, cfg *config.Config) {
	if kinds := cfg.Cluster.UnknownObjectives(); len(kinds) > 0 {
		log.Warn("objectives of unknown kinds are ignored", "kinds", kinds)
	}
}

// logger writes to standard error, to the extent that the level gives.
func logger(level string) (*slog.Logger, error) {
	l := slog.LevelInfo
	switch level {
	case "", "info":
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
