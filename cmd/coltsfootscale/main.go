package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/coltsfootscale/coltsfootscale/internal/commander"
)

func main() {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	os.Exit(commander.Run(os.Args[1:], &commander.Environment{Stdout: os.Stdout, Stderr: os.Stderr, Stop: stop}))
}
