package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

type callCommand struct {
	deferred
	Site           `group:"Site"`
	Team           `group:"Team"`
	Path           string `long:"Path" required:"true" description:"path of the service's route"`
	IdempotencyKey string `long:"IdempotencyKey" description:"idempotency key; calls with the same key run at most once"`
	Positional     struct {
		Body string `positional-arg-name:"BODY"`
	} `positional-args:"true"`
}

func (c *callCommand) validate() error {
	if !strings.HasPrefix(c.Path, "/") {
		return fmt.Errorf("%w: --Path %q: allowed: a path that starts with /", ErrUsage, c.Path)
	}
	return validateAll(c.Site.validate, c.Team.validate)
}

func (c *callCommand) run(env *Environment) error {
	ctx, cancel := context.WithTimeout(env.Stop, c.Timeout)
	defer cancel()
	client := &caller.Caller{Seeds: c.Entries, Zone: identifier.ZoneID(c.Zone), HTTP: env.HTTP}
	resp, err := client.Do(ctx, func(base string) (*http.Request, error) { return c.request(base) })
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maximumResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: read response: %w", ErrUnreachable, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusalError(resp, data)
	}
	_, err = env.Stdout.Write(data)
	return err
}

func (c *callCommand) request(base string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, base+c.Path, strings.NewReader(c.Positional.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	if c.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	// The HTTP transport must not resend the call on its own; without GetBody it cannot resend a body.
	req.GetBody = nil
	return req, nil
}
