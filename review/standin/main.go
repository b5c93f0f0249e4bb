// Command standin runs one case of the review: stand-ins of the state service, the cloud, workers
// and users, and the controllers as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// scenario is a case: it changes the settings of the small deployment, and runs.
type scenario struct {
	settings func(s *Settings)
	run      func(w *World, trouble bool)
}

var cases = map[string]scenario{}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %s", os.Args[1])
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(time.Duration(limitS()*float64(time.Second)), func() { cannotRun("it took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	settings := smallDeployment()
	if c.settings != nil {
		c.settings(&settings)
	}
	w := newWorld(os.Args[2], settings)
	w.logf("case %s, trouble %v", os.Args[1], trouble)
	c.run(w, trouble)
	broken := w.check.broken()
	for _, text := range broken {
		fmt.Println("rule broken:", text)
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		w.keepLogs(dir)
	}
	cleanUp()
	if len(broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rules held")
}

// limitS returns for how many seconds a case may run: 118, or LIMIT_S for a longer look.
func limitS() float64 {
	if s, err := strconv.ParseFloat(os.Getenv("LIMIT_S"), 64); err == nil {
		return s
	}
	return 118
}

// limit returns the same.
func (w *World) limit() float64 { return limitS() }

// smallDeployment returns settings like those of the smaller deployment of the brief.
func smallDeployment() Settings {
	return Settings{
		Zones: []string{"accra-east", "kumasi-central"}, NodeZones: []string{"accra-east", "kumasi-central", "accra-east"},
		Teams:   []team{{Name: "editorial-desk"}, {Name: "lexicon-team"}, {Name: "delivery-ops"}},
		ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 4, CancelS: 49,
		StateRPS: 80, StateWrites: 15, ValueKB: 8, TxnOps: 12, CloudRPS: 6, ListLag: 6,
		Cores: 0.06, MemoryMB: 98, FDLimit: 800,
	}
}

func adinkra(zones ...string) machineType {
	return machineType{"adinkra-gpu", 32, 4, 256, 120, 1, 11.24, 2.91, 30, zones}
}
