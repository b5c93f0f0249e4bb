// Command review2 runs one case of the review: review2 CASE ROOT RECORD.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(root, record string, trouble bool) int{}

// limit is how long a case may run. One that takes longer ends like an interrupted one, with exit code 2.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE ROOT RECORD")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if os.Args[1] != "chaos" {
		time.AfterFunc(limit, func() { stop <- syscall.SIGTERM })
	}
	go func() {
		<-stop
		if current != nil {
			current.close()
		}
		os.Exit(2)
	}()
	os.Exit(cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}
