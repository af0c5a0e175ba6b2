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
	// ErrNotSent is returned when the target could not be reached; it wraps ErrNotRun.
	ErrNotSent = fmt.Errorf("%w: not sent", ErrNotRun)
	// ErrUnreachable is returned when no connection to the target could be opened; it wraps ErrNotSent.
	ErrUnreachable = fmt.Errorf("%w: unreachable", ErrNotSent)
	// ErrPeerCutOff is returned when a peer cannot reach the targets either; it wraps ErrNotRun.
	ErrPeerCutOff = fmt.Errorf("%w: the peer is cut off from the targets too", ErrNotRun)
	// ErrOutcomeUnknown is returned when the target may have run the request.
	ErrOutcomeUnknown = errors.New("target may have run the request")
)

// Call is a client's request.
type Call struct {
	ID     identifier.RequestID
	Method string
	URI    string
	Host   string
	Path   string
	Key    string
	// Deadline is the longest time that the client waits for the answer; zero means that it set no limit.
	Deadline time.Duration
	// Header contains only the headers that may be forwarded to a target.
	Header http.Header
	Body   Body
	// LastEvent is the ID of the last event that the client received, or empty.
	LastEvent string
	// Origin is the request that brought the first event of the stream that this one goes on with, or empty if the client
	// names none.
	Origin identifier.RequestID
	// HandedOver is set if a peer has passed the call on. It has then counted the request if Counted is set, and made
	// AttemptsBefore attempts and PrefillsBefore prefills.
	HandedOver     bool
	Counted        bool
	AttemptsBefore int
	PrefillsBefore int
	// RefusedBy are the targets that have refused the call or failed to prefill its prompt before; none of them gets it again.
	RefusedBy []identifier.TargetID
	// Cache is the KV cache of the prompt if the peer has had it computed.
	Cache *KVHandle
	// OnRefusal is called before a refusal is written, with whether it is certain that the request has not run, and what that rests on; it may
	// be nil.
	OnRefusal func(notRun bool, e Evidence)
	// Parts are the parts of the prompt; AnswerTokens is the maximum number of tokens to generate.
	Parts        []chooser.Part
	AnswerTokens identifier.Tokens
	// Tokens is the number of prompt tokens and the maximum number of answer tokens that the client states, or nil if it states
	// none.
	Tokens *identifier.Tokens
}

// KVHandle identifies the KV cache of a prompt that one target keeps for another target to fetch.
type KVHandle struct {
	Target *registrar.Target
	ID     string
}

// Attempt describes one attempt to run a call, on one target.
type Attempt struct {
	Target *registrar.Target
	Team   identifier.TeamID
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// EffectivePriority orders the requests in the target's queue; 0 is the highest.
	EffectivePriority int
	// Source is the handle of the prompt's KV cache, or nil if no other target prefilled the prompt.
	Source *KVHandle
	// LastEvent is the ID of the event after which the stream resumes, or empty.
	LastEvent string
	// Connections is the maximum number of connections from this instance to the target; zero means no limit.
	Connections int
	// MaximumIdle is the maximum idle time of a connection that may be reused; zero requires a new connection.
	MaximumIdle time.Duration
}

// Response is a target's HTTP response; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Unframed is set if only the end of the connection ends the body.
	Unframed bool
	Body     io.ReadCloser
}

// Backend sends calls to targets. It never retries.
type Backend interface {
	// Run sends a call to a target; errors wrap ErrNotRun or ErrOutcomeUnknown.
	Run(ctx context.Context, c *Call, a *Attempt) (*Response, error)
	// Prefill computes the KV cache of the call's prompt on a target; errors wrap ErrNotRun or ErrOutcomeUnknown.
	Prefill(ctx context.Context, c *Call, a *Attempt) (*KVHandle, error)
	// Reachable reports whether a target accepts connections.
	Reachable(ctx context.Context, t *registrar.Target) bool
	// Free releases an unused handle.
	Free(ctx context.Context, h *KVHandle) error
}
