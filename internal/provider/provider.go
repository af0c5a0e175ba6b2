package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrUnavailable is returned when the platform sent no usable response; the call may still have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrTruncated is returned when the requested offset is older than the oldest retained record.
var ErrTruncated = errors.New("log truncated")

// ErrRefused is returned when the platform rejected the call without carrying it out.
var ErrRefused = errors.New("platform refused")

const maximumResponseBytes = 64 << 20

// OldestOffset is the start offset of a read that begins at the oldest retained record.
const OldestOffset = identifier.Offset(1<<64 - 1)

// Page holds consecutive records of a stream.
type Page struct {
	// First is the oldest retained offset of the stream.
	First identifier.Offset
	// Offset is the offset of the first record of the page.
	Offset identifier.Offset
	// End is the offset after the newest record of the stream.
	End     identifier.Offset
	Records [][]byte
}

// AppendRequest is the request body of an append.
type AppendRequest struct{ Records [][]byte }

// AppendResponse is the response to an append: the offset of the first appended record.
type AppendResponse struct{ Offset identifier.Offset }

// Instance is an entry of the platform's instance list, which lags behind the actual state.
type Instance struct {
	ID      string
	Leaving bool
}

// TargetOrder requests a target in an availability zone from the platform, or releases one.
type TargetOrder struct {
	OrderID string
	Sender  string
	Fence   identifier.Fence
	Kind    string
	Target  string
	Zone    string
	Model   string
	Cheap   bool
}

// GrantedTarget is the target that the platform provided for an order; it is empty if the order released a target.
type GrantedTarget struct {
	ID                     string
	Address                string
	Zone                   string
	Model                  string
	Cheap                  bool
	ChecksFence            bool
	PricePerHour           float64
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	Slots                  int64
}

// TeamTotals is the usage of one team in a window.
type TeamTotals struct {
	Team         string
	Requests     int64
	Refused      int64
	Cut          int64
	PromptTokens int64
	OutputTokens int64
}

// Report is the usage of all teams in one closed window.
type Report struct {
	// Window is the number of the window.
	Window uint64
	Sender string
	Fence  identifier.Fence
	Teams  []TeamTotals
}

// Provider is a client of the platform; HTTP must be set.
type Provider struct {
	// BaseURL is the base URL of the platform.
	BaseURL string
	HTTP    *http.Client
}

// Append appends records to a stream and returns the offset of the first. After ErrUnavailable the outcome is unknown.
func (p *Provider) Append(ctx context.Context, stream identifier.StreamID, records [][]byte) (identifier.Offset, error) {
	var response AppendResponse
	err := p.call(ctx, http.MethodPost, "/log/"+url.PathEscape(string(stream)), AppendRequest{Records: records}, &response)
	return response.Offset, err
}

// Read returns the records of a stream from an offset on. If there are none yet, it waits for one, for at most wait.
func (p *Provider) Read(ctx context.Context, stream identifier.StreamID, from identifier.Offset, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("From", strconv.FormatUint(uint64(from), 10))
	q.Set("WaitMilliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	if err := p.call(ctx, http.MethodGet, "/log/"+url.PathEscape(string(stream))+"?"+q.Encode(), nil, &page); err != nil {
		return Page{}, err
	}
	if from != OldestOffset && page.Offset != from {
		return Page{}, fmt.Errorf("%w: stream %s: a page from offset %d for a read from %d", ErrUnavailable, stream, page.Offset, from)
	}
	return page, nil
}

// Instances returns the platform's list of live and leaving instances, which lags behind the actual state.
func (p *Provider) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := p.call(ctx, http.MethodGet, "/instances", nil, &list)
	return list, err
}

// OrderTarget places a target order. Repeating an order with the same OrderID has no further effect and returns the same
// response.
func (p *Provider) OrderTarget(ctx context.Context, order TargetOrder) (GrantedTarget, error) {
	var granted GrantedTarget
	err := p.call(ctx, http.MethodPost, "/targets", order, &granted)
	return granted, err
}

// SendReport reports one usage window. Repeating a report with the same figures has no further effect.
func (p *Provider) SendReport(ctx context.Context, report Report) error {
	return p.call(ctx, http.MethodPost, "/reports", report, nil)
}

// call sends in as JSON and decodes the JSON response into out; both may be nil.
func (p *Provider) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, p.BaseURL+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := p.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maximumResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return fmt.Errorf("%s %s: %w: %s", method, path, err, bytes.TrimSpace(data))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	return nil
}

func statusError(status int) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusGone:
		return ErrTruncated
	case status >= 400 && status < 500:
		return ErrRefused
	default:
		return ErrUnavailable
	}
}
