package commander

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/coltsfootscale/coltsfootscale/internal/server"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

type grantCommand struct {
	deferred
	Site     `group:"Site"`
	Operator `group:"Operator"`
	Team     string `long:"Team" required:"true" description:"team that the key belongs to"`
	ID       string `long:"ID" required:"true" description:"id of the key, for withdrawing it later"`
}

func (c *grantCommand) validate() error {
	if c.ID == "" || strings.ContainsAny(c.ID, "/? ") {
		return fmt.Errorf("%w: --ID %q: allowed: a name without spaces, / and ?", ErrUsage, c.ID)
	}
	return validateAll(c.Site.validate, c.Operator.validate)
}

func (c *grantCommand) run(env *Environment) error {
	key := rand.Text()
	in := server.GrantRequest{ID: identifier.KeyID(c.ID), Hash: identifier.HashKey(key), Team: identifier.TeamID(c.Team)}
	var response server.ChangeResponse
	if err := callOperator(env, &c.Site, &c.Operator, http.MethodPost, "/operator/keys", in, &response); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env, struct {
			server.ChangeResponse
			Key string
		}{response, key})
	}
	fmt.Fprintf(env.Stderr, "key %s works everywhere after %d ms\n", c.ID, response.InForceMilliseconds)
	fmt.Fprintln(env.Stdout, key)
	return nil
}

type withdrawCommand struct {
	deferred
	Site     `group:"Site"`
	Operator `group:"Operator"`
	ID       string `long:"ID" required:"true" description:"id of the key"`
}

func (c *withdrawCommand) validate() error {
	return validateAll(c.Site.validate, c.Operator.validate)
}

func (c *withdrawCommand) run(env *Environment) error {
	var response server.ChangeResponse
	if err := callOperator(env, &c.Site, &c.Operator, http.MethodDelete, "/operator/keys/"+url.PathEscape(c.ID), nil, &response); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env, response)
	}
	fmt.Fprintf(env.Stdout, "key %s no longer works anywhere after %d ms\n", c.ID, response.InForceMilliseconds)
	return nil
}

type hashCommand struct {
	deferred
	KeyFile string `long:"KeyFile" value-name:"FILE" required:"true" description:"file with the key"`

	key string
}

func (c *hashCommand) validate() error {
	data, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return fmt.Errorf("%w: --KeyFile: %w", ErrUsage, err)
	}
	c.key = strings.TrimSpace(string(data))
	if c.key == "" {
		return fmt.Errorf("%w: --KeyFile %s is empty", ErrUsage, c.KeyFile)
	}
	return nil
}

func (c *hashCommand) run(env *Environment) error {
	fmt.Fprintln(env.Stdout, identifier.HashKey(c.key))
	return nil
}
