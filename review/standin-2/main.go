// Command standin-2 runs the scripts of the second review with its stand-ins.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD FOLDER")
		return exitCannot
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer f.Close()
	s := &site{trouble: os.Getenv("TROUBLE") != "0", record: recordTo(f)}
	cases := map[string]interface {
		run(program, dir string) (bool, error)
	}{"usage": &usageCase{s}, "left": &leftCase{site: s}}
	c, ok := cases[os.Args[1]]
	if !ok {
		return exitCannot
	}
	held, err := c.run(os.Args[2], os.Args[4])
	switch {
	case err != nil:
		s.record("cannot run: %s", err)
		return exitCannot
	case !held:
		return exitBroken
	}
	s.record("the rule held")
	return exitHeld
}
