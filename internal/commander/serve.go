package commander

import (
	"context"
	"fmt"

	"github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/explainer"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/runner"
)

type serveCommand struct {
	deferred
	Settings string `long:"Settings" value-name:"FILE" required:"true" description:"settings of the entry instance"`
	Debug    bool   `long:"Debug" description:"log debug messages too"`

	settings *parser.Settings
}

func (c *serveCommand) validate() error {
	data, err := readFile("--Settings", c.Settings)
	if err != nil {
		return err
	}
	c.settings, err = parser.ParseSettings(c.Settings, data)
	if err != nil {
		return fmt.Errorf("%w:\n%w", ErrUsage, err)
	}
	return nil
}

func (c *serveCommand) run(env *Environment) error {
	output := newLogOutput(env.Stdout, c.settings.Instance)
	defer flushLog(output)
	out, err := explainer.New(output)
	if err != nil {
		return err
	}
	logger := NewLogger(out, c.Debug).With(zap.String("Instance", string(c.settings.Instance)))
	// kratos logs through a process-wide logger.
	log.SetLogger(kratosLogger{logger})
	entry := runner.New(c.settings, networker.TCP{}, logger, out.Lines)
	if err := entry.Run(env.Stop, context.Background()); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return nil
}
