package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/generator"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

type loadCommand struct {
	deferred
	Site         `group:"Site"`
	Team         `group:"Team"`
	Model        string        `long:"Model" required:"true" description:"name of the model"`
	Requests     int           `long:"Requests" default:"100" description:"total number of requests"`
	Concurrency  int           `long:"Concurrency" default:"8" description:"number of concurrent requests"`
	PromptTokens int64         `long:"PromptTokens" default:"500" description:"mean prompt length in tokens, of 4 bytes each"`
	OutputTokens int64         `long:"OutputTokens" default:"50" description:"mean limit on the number of output tokens of a request"`
	Swing        time.Duration `long:"Swing" default:"20s" description:"period in which the prompt length swings between half and double while the output limit swings inversely; 0 for none"`
	Prefixes     int           `long:"Prefixes" default:"10" description:"number of different prompt prefixes"`
	Seed         uint64        `long:"Seed" default:"1" description:"random seed"`
}

const maximumLoadRequests = 1_000_000

func (c *loadCommand) validate() error {
	switch {
	case c.Requests < 1 || c.Requests > maximumLoadRequests:
		return fmt.Errorf("%w: --Requests %d: allowed: 1 to %d", ErrUsage, c.Requests, maximumLoadRequests)
	case c.Concurrency < 1:
		return fmt.Errorf("%w: --Concurrency %d: allowed: 1 or more", ErrUsage, c.Concurrency)
	case c.Prefixes < 1:
		return fmt.Errorf("%w: --Prefixes %d: allowed: 1 or more", ErrUsage, c.Prefixes)
	}
	return validateAll(c.Site.validate, c.Team.validate)
}

func (c *loadCommand) run(env *Environment) error {
	ctx, cancel := context.WithTimeout(env.Stop, c.Timeout)
	defer cancel()
	g := &generator.Generator{
		Caller:       &caller.Caller{Seeds: c.Entries, Zone: identifier.ZoneID(c.Zone), HTTP: env.HTTP},
		Key:          c.key,
		Model:        c.Model,
		Requests:     c.Requests,
		Concurrency:  c.Concurrency,
		PromptTokens: c.PromptTokens,
		OutputTokens: c.OutputTokens,
		Swing:        c.Swing,
		Prefixes:     c.Prefixes,
		Seed:         c.Seed,
		Progress:     env.Stderr,
	}
	result := g.Run(ctx)
	if c.JSON {
		if err := result.WriteJSON(env.Stdout); err != nil {
			return err
		}
	} else {
		result.WriteTable(env.Stdout)
	}
	if result.Finished == 0 {
		return fmt.Errorf("%w: no request finished", ErrUnreachable)
	}
	return nil
}
