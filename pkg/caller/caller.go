package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrNoEntry is returned when no entry instance could be asked for addresses.
var ErrNoEntry = errors.New("no entry instance answers")

const maximumAnswerBytes = 1 << 20

// Address is one entry instance that takes callers.
type Address struct {
	Address  string
	Zone     identifier.ZoneID
	Instance identifier.InstanceID
}

// Addresses is a ranked answer, the best first, with how long it may be cached.
type Addresses struct {
	Addresses            []Address
	LifetimeMilliseconds int64
}

// Caller sends requests to entry instances; Seeds and HTTP must be set.
type Caller struct {
	Seeds []string
	Zone  identifier.ZoneID
	HTTP  *http.Client

	mu      sync.Mutex
	cached  Addresses
	expires time.Time
}

// Addresses returns the cached addresses, or asks for them.
func (c *Caller) Addresses(ctx context.Context) ([]Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.cached.Addresses, nil
	}
	var failed error
	for _, base := range c.sources() {
		asked := time.Now()
		answer, err := c.ask(ctx, base)
		if err != nil {
			failed = err
			continue
		}
		c.cached = answer
		c.expires = asked.Add(time.Duration(answer.LifetimeMilliseconds) * time.Millisecond)
		return answer.Addresses, nil
	}
	return nil, fmt.Errorf("%w: %w", ErrNoEntry, failed)
}

// Forget drops the cached addresses, so that the next call asks again.
func (c *Caller) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// Do sends a request that build makes for the best address that accepts a connection.
func (c *Caller) Do(ctx context.Context, build func(base string) (*http.Request, error)) (*http.Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	failed := ErrNoEntry
	for _, a := range addresses {
		req, err := build("http://" + a.Address)
		if err != nil {
			return nil, err
		}
		resp, err := c.HTTP.Do(req.WithContext(ctx))
		if err == nil {
			return resp, nil
		}
		c.Forget()
		failed = err
		if !NotSent(err) {
			return nil, err
		}
	}
	return nil, failed
}

// sources returns the known entries first, then the seeds.
func (c *Caller) sources() []string {
	var list []string
	for _, a := range c.cached.Addresses {
		list = append(list, "http://"+a.Address)
	}
	return append(list, c.Seeds...)
}

func (c *Caller) ask(ctx context.Context, base string) (Addresses, error) {
	var answer Addresses
	q := url.Values{"AvailabilityZone": {string(c.Zone)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/addresses?"+q.Encode(), nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("addresses from %s: status %d", base, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maximumAnswerBytes)).Decode(&answer)
	if err == nil && len(answer.Addresses) == 0 {
		err = fmt.Errorf("addresses from %s: empty", base)
	}
	return answer, err
}
