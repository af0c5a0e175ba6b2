package commander

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/platform"
)

type entryCommand struct {
	deferred
	Settings string `long:"Settings" value-name:"FILE" description:"settings of the entry instance; default: the file that COLTSFOOTSCALE_NODE_FILE names, else /etc/coltsfootscale/node.yaml"`
	DryRun   bool   `long:"DryRun" description:"print the effective settings, including defaults, and exit"`
	Debug    bool   `long:"Debug" description:"log debug messages too"`

	settings *parser.EntrySettings
}

func (c *entryCommand) validate() error {
	if c.Settings == "" {
		c.Settings = platform.SettingsFile()
	}
	var err error
	c.settings, err = c.readSettings()
	return err
}

func (c *entryCommand) readSettings() (*parser.EntrySettings, error) {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return nil, fmt.Errorf("%w: --Settings: %w", ErrUsage, err)
	}
	s, err := parser.ParseEntrySettings(c.Settings, data)
	if err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrUsage, err)
	}
	return s, nil
}

func (c *entryCommand) run(env *Environment) error {
	if c.DryRun {
		return printJSON(env, c.settings)
	}
	// The settings are reloaded while the instance runs. Before and after, a SIGHUP must not end the process.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	output := newLogOutput(env.Stdout, c.settings.Instance)
	defer flushLog(output)
	logger := NewLogger(output, c.Debug).With(zap.String("Instance", string(c.settings.Instance)))
	// kratos logs through a process-wide logger.
	log.SetLogger(kratosLogger{logger})
	handlers := coordinator.Handlers{
		Client: func(co *coordinator.Coordinator) http.Handler {
			return &platform.Ingress{Server: co, Limits: co.Limits, BodyBuffers: &co.BodyBuffers, Logger: logger}
		},
		Relay: func(co *coordinator.Coordinator) http.Handler {
			return &platform.Ingress{FromPeers: true, Server: co, Limits: co.Limits, BodyBuffers: &co.BodyBuffers, Logger: logger}
		},
		Ready: func(co *coordinator.Coordinator) http.Handler {
			return &platform.Readiness{Ready: co.Ready}
		},
		Directory: func(co *coordinator.Coordinator) http.Handler {
			return &platform.Directory{Addresses: co.Addresses, Lifetime: min(coordinator.AddressLifetime, c.settings.Bounds.AddressLifetime), Logger: logger}
		},
	}
	p, closeIdle := platform.New(c.settings)
	go closeIdle(env.Stop)
	co := coordinator.New(c.settings, p, handlers, c.readSettings, logger)
	co.LogOutput = output
	if err := co.Run(env.Stop); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return nil
}
