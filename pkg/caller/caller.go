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

// ErrNoEntry is returned when no entry instance returned addresses.
var ErrNoEntry = errors.New("no entry instance responded with addresses")

const maximumResponseBytes = 1 << 20

// Address is the address of an entry instance that accepts callers.
type Address struct {
	Address  string
	Zone     identifier.ZoneID
	Instance identifier.InstanceID
}

// Addresses lists entry instances, best first, with the time for which the list may be cached.
type Addresses struct {
	Addresses            []Address
	LifetimeMilliseconds int64
}

// Caller sends requests to entry instances; Seeds and HTTP must be set.
type Caller struct {
	// Seeds are the base URLs of entry instances from which addresses are fetched if no cached one responds.
	Seeds []string
	Zone  identifier.ZoneID
	HTTP  *http.Client

	mu      sync.Mutex
	cached  Addresses
	expires time.Time
}

// Addresses returns the cached addresses, or fetches them if they have expired.
func (c *Caller) Addresses(ctx context.Context) ([]Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.cached.Addresses, nil
	}
	var lastErr error
	for _, base := range c.directoryURLs() {
		requestedAt := time.Now()
		addresses, err := c.fetchAddresses(ctx, base)
		if err != nil {
			lastErr = err
			continue
		}
		c.cached = addresses
		c.expires = requestedAt.Add(time.Duration(addresses.LifetimeMilliseconds) * time.Millisecond)
		return addresses.Addresses, nil
	}
	return nil, fmt.Errorf("%w: %w", ErrNoEntry, lastErr)
}

// Forget expires the cached addresses, so that the next call fetches them again.
func (c *Caller) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// Do tries the addresses in ranked order until one accepts a connection; build returns the request for a base URL. A
// request that may have been sent is not repeated at another address.
func (c *Caller) Do(ctx context.Context, build func(base string) (*http.Request, error)) (*http.Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	lastErr := ErrNoEntry
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
		lastErr = err
		if !NotSent(err) {
			return nil, err
		}
	}
	return nil, lastErr
}

// directoryURLs returns the base URLs to fetch addresses from: the cached entry instances first, then the seeds.
func (c *Caller) directoryURLs() []string {
	var urls []string
	for _, a := range c.cached.Addresses {
		urls = append(urls, "http://"+a.Address)
	}
	return append(urls, c.Seeds...)
}

func (c *Caller) fetchAddresses(ctx context.Context, base string) (Addresses, error) {
	var addresses Addresses
	q := url.Values{"AvailabilityZone": {string(c.Zone)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/addresses?"+q.Encode(), nil)
	if err != nil {
		return addresses, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return addresses, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return addresses, fmt.Errorf("addresses from %s: unexpected status %d", base, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maximumResponseBytes)).Decode(&addresses)
	if err == nil && len(addresses.Addresses) == 0 {
		err = fmt.Errorf("addresses from %s: empty list", base)
	}
	return addresses, err
}
