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
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 PROGRAM RECORD FOLDER")
		return exitCannot
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer f.Close()
	u := &usageCase{trouble: os.Getenv("TROUBLE") != "0", record: recordTo(f)}
	held, err := u.run(os.Args[1], os.Args[3])
	switch {
	case err != nil:
		u.record("cannot run: %s", err)
		return exitCannot
	case !held:
		return exitBroken
	}
	u.record("the rule held")
	return exitHeld
}
