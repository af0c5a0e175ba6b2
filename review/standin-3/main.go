// Command standin-3 runs the scripts of the third review: it starts entry instances as separate processes, with stand-ins for
// the platform, the workers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(s *site) (broken bool, err error){
	"tenants": runTenants,
	"drill":   runDrill,
	"logs":    runLogs,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitNotRun
	}
	s, err := newSite(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](s)
		done <- result{broken, err}
	}()
	select {
	case <-interrupted:
		s.log("interrupted")
		return exitNotRun
	case r := <-done:
		switch {
		case r.err != nil:
			s.log("cannot run: %v", r.err)
			return exitNotRun
		case r.broken:
			s.log("the rule was broken")
			return exitBroken
		}
		s.log("the rule held")
		return exitHeld
	}
}
