package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Team holds the flags that describe a caller: the team's key and the caller's availability zone.
type Team struct {
	KeyFile string `long:"KeyFile" value-name:"FILE" required:"true" description:"file with the team's key"`
	Zone    string `long:"AvailabilityZone" description:"the caller's availability zone"`

	key string
}

func (t *Team) validate() error {
	data, err := os.ReadFile(t.KeyFile)
	if err != nil {
		return fmt.Errorf("%w: --KeyFile: %w", ErrUsage, err)
	}
	t.key = strings.TrimSpace(string(data))
	return nil
}

type askCommand struct {
	deferred
	Site       `group:"Site"`
	Team       `group:"Team"`
	Model      string `long:"Model" required:"true" description:"name of the model"`
	MaxTokens  int64  `long:"MaxTokens" default:"16" description:"maximum number of output tokens"`
	Positional struct {
		Prompt string `positional-arg-name:"PROMPT" required:"true"`
	} `positional-args:"true"`
}

func (c *askCommand) validate() error { return validateAll(c.Site.validate, c.Team.validate) }

func (c *askCommand) run(env *Environment) error {
	ctx, cancel := context.WithTimeout(env.Stop, c.Timeout)
	defer cancel()
	body, err := json.Marshal(chatter.Request{
		Model: c.Model, Messages: []chatter.Message{{Role: "user", Content: c.Positional.Prompt}}, MaxTokens: c.MaxTokens, Stream: true,
	})
	if err != nil {
		return err
	}
	client := &caller.Caller{Seeds: c.Entries, Zone: identifier.ZoneID(c.Zone), HTTP: env.HTTP}
	resp, err := client.Do(ctx, func(base string) (*http.Request, error) { return chatRequest(base, c.key, body) })
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maximumResponseBytes))
		return refusalError(resp, data)
	}
	fmt.Fprintf(env.Stderr, "request %s\n", resp.Header.Get("X-Request-Id"))
	return c.print(env, resp.Body)
}

// print writes the tokens as they arrive.
func (c *askCommand) print(env *Environment, r io.Reader) error {
	events := chatter.NewEventReader(r)
	for {
		event, err := events.Next()
		if err != nil {
			return fmt.Errorf("%w: the response ended early: %w", ErrUnreachable, err)
		}
		if event.Done() {
			fmt.Fprintln(env.Stdout)
			return nil
		}
		if c.JSON {
			fmt.Fprintf(env.Stdout, "%s\n", event.Data)
			continue
		}
		var chunk chatter.Completion
		if json.Unmarshal(event.Data, &chunk) == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
			fmt.Fprint(env.Stdout, chunk.Choices[0].Delta.Content)
		}
	}
}

func chatRequest(base, key string, body []byte) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
