package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
)

const maximumResponseBytes = 64 << 20

// callOperator sends a request to the entry instances in order until one responds. A change that may have been executed
// is not sent to another instance.
func callOperator(env *Environment, site *Site, operator *Operator, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(env.Stop, site.Timeout)
	defer cancel()
	var lastErr error
	for _, entry := range site.Entries {
		req, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUsage, err)
		}
		req.Header.Set("Authorization", "Bearer "+operator.key)
		req.Header.Set("Content-Type", "application/json")
		resp, err := env.HTTP.Do(req)
		if err != nil {
			lastErr = fmt.Errorf("%w: %s: %w", ErrUnreachable, entry, err)
			if method != http.MethodGet && !caller.NotSent(err) {
				return fmt.Errorf("the change may have taken effect, check before repeating it: %w", lastErr)
			}
			continue
		}
		return readResponse(resp, out)
	}
	return lastErr
}

func readResponse(resp *http.Response, out any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maximumResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: read response: %w", ErrUnreachable, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusalError(resp, data)
	}
	return json.Unmarshal(data, out)
}

func refusalError(resp *http.Response, data []byte) error {
	var body refuser.Body
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
	}
	return fmt.Errorf("%w: %s (%s): %s", ErrRefused, body.Error.Code, body.Error.Run, body.Error.Message)
}

// printJSON prints a value as indented JSON.
func printJSON(env *Environment, v any) error {
	encoder := json.NewEncoder(env.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
