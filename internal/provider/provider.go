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

// ErrUnavailable is returned when the platform gave no usable answer; the call may still have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrTruncated is returned when the offset asked for is older than the log's retention.
var ErrTruncated = errors.New("log truncated")

// ErrRefused is returned when the platform answered that it did not carry out the call.
var ErrRefused = errors.New("platform refused")

const maximumAnswerBytes = 64 << 20

// OldestOffset stands for the oldest retained offset in a read.
const OldestOffset = identifier.Offset(1<<64 - 1)

// Page is a run of records read from a stream.
type Page struct {
	First   identifier.Offset
	Offset  identifier.Offset
	End     identifier.Offset
	Records [][]byte
}

// AppendRequest is the body of an append.
type AppendRequest struct{ Records [][]byte }

// AppendResponse gives the offset of the first appended record.
type AppendResponse struct{ Offset identifier.Offset }

// Instance is one row of the platform's lagging list.
type Instance struct {
	ID      string
	Leaving bool
}

// TargetOrder asks the platform for a target in an availability zone or gives one back.
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

// GrantedTarget is the target that an order brought; it is empty for one that was given back.
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

// TeamTotals is one team's usage in a window.
type TeamTotals struct {
	Team         string
	Requests     int64
	Refused      int64
	Cut          int64
	PromptTokens int64
	OutputTokens int64
}

// Report is one closed usage window.
type Report struct {
	Window uint64
	Sender string
	Fence  identifier.Fence
	Teams  []TeamTotals
}

// Provider is a client of the platform; HTTP must be set.
type Provider struct {
	Base string
	HTTP *http.Client
}

// Append adds records to a stream and returns the offset of the first; on ErrUnavailable the outcome is unknown.
func (p *Provider) Append(ctx context.Context, stream identifier.StreamID, records [][]byte) (identifier.Offset, error) {
	var answer AppendResponse
	err := p.call(ctx, http.MethodPost, "/log/"+url.PathEscape(string(stream)), AppendRequest{Records: records}, &answer)
	return answer.Offset, err
}

// Read returns records from an offset on, waiting up to wait for the first.
func (p *Provider) Read(ctx context.Context, stream identifier.StreamID, from identifier.Offset, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("From", strconv.FormatUint(uint64(from), 10))
	q.Set("WaitMilliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := p.call(ctx, http.MethodGet, "/log/"+url.PathEscape(string(stream))+"?"+q.Encode(), nil, &page)
	return page, err
}

// Instances returns the platform's lagging list of live and leaving instances.
func (p *Provider) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := p.call(ctx, http.MethodGet, "/instances", nil, &list)
	return list, err
}

// OrderTarget places a target order; repeating an OrderID has no further effect and gets the same answer.
func (p *Provider) OrderTarget(ctx context.Context, order TargetOrder) (GrantedTarget, error) {
	var granted GrantedTarget
	err := p.call(ctx, http.MethodPost, "/targets", order, &granted)
	return granted, err
}

// SendReport hands in one usage window; repeating it with the same figures has no further effect.
func (p *Provider) SendReport(ctx context.Context, report Report) error {
	return p.call(ctx, http.MethodPost, "/reports", report, nil)
}

func (p *Provider) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, p.Base+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := p.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maximumAnswerBytes))
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
