package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Errors of a backend.
var (
	// ErrNotRun is returned when the target has not run the request and never will.
	ErrNotRun = errors.New("target did not run the request")
	// ErrNotSent is returned when the target could not be reached; it is an ErrNotRun that no target has seen.
	ErrNotSent = fmt.Errorf("%w: not sent", ErrNotRun)
	// ErrOutcomeUnknown is returned when the target may have run the request.
	ErrOutcomeUnknown = errors.New("target may have run the request")
)

// Call is a client's request; Header holds only what may reach a target.
type Call struct {
	ID       identifier.RequestID
	Method   string
	URI      string
	Host     string
	Path     string
	Key      string
	Deadline time.Duration
	Header   http.Header
	Body     Body
	// LastEvent is the id of the last event that the client has, or empty.
	LastEvent string
	// Parts are the pieces of the prompt; AnswerTokens is the most that may be generated.
	Parts        []chooser.Part
	AnswerTokens identifier.Tokens
}

// CacheHandle names the KV cache of a prompt that a target holds for another one.
type CacheHandle struct {
	Target *registrar.Target
	ID     string
}

// Attempt is what goes with a call to one target.
type Attempt struct {
	Target *registrar.Target
	Team   identifier.TeamID
	// Remaining is the time until the final answer is due.
	Remaining time.Duration
	// Rank is the urgency among the target's requests; 0 comes first.
	Rank int
	// Source is where the prompt's KV cache is, or nil.
	Source *CacheHandle
	// LastEvent is the id of the event after which the answer goes on, or empty.
	LastEvent string
	// Connections is how many connections to the target this instance may open; zero: any number.
	Connections int
	// Freshness is how long ago a kept connection may have been used; zero: a new connection.
	Freshness time.Duration
}

// Response is a target's answer; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1: not known.
	Length int64
	Body   io.ReadCloser
}

// Backend sends calls to targets, each exactly once.
type Backend interface {
	// Run sends a call; errors wrap ErrNotRun or ErrOpen.
	Run(ctx context.Context, c *Call, s *Attempt) (*Response, error)
	// Prefill has the prompt computed; errors wrap ErrNotRun or ErrOpen.
	Prefill(ctx context.Context, c *Call, s *Attempt) (*CacheHandle, error)
	// Free gives a handle back that is not used.
	Free(ctx context.Context, h *CacheHandle) error
}
