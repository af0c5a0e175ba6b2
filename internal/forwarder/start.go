package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

const (
	// maximumStartWait limits the wait of a request for an instance that has just started, and startWaitShare its share of the
	// time that the client waits.
	maximumStartWait = time.Second
	startWaitShare   = 3
	// startCheckPause is the pause between checks whether it is ready.
	startCheckPause = 10 * time.Millisecond
)

// awaitStart lets a request wait while this instance reads its first configuration and list of targets. After a restart of all
// instances, clients would otherwise be refused everywhere.
func (rs *requestState) awaitStart(ctx context.Context) {
	if rs.f.Starting == nil {
		return
	}
	wait := maximumStartWait
	if rs.call.Deadline > 0 {
		wait = min(wait, rs.call.Deadline/startWaitShare)
	}
	for time.Since(rs.start) < wait && rs.f.Starting() {
		if sleeper.Sleep(ctx, startCheckPause) != nil {
			return
		}
	}
}

// ErrStopping is the cause of the end of a request's context if the instance stops before the request is done.
var ErrStopping = errors.New("the instance stops")

// refuseStopping refuses a request that comes on an open connection when the instance is about to end, or returns nil.
func (rs *requestState) refuseStopping() *Refusal {
	if rs.f.Stopping == nil || !rs.f.Stopping() {
		return nil
	}
	return refuseNotRun("Stopping", defaultRetryAfter, ErrStopping)
}

// refuseUnprompted refuses a stream whose prompt was not prefilled before ctx ended.
func (rs *requestState) refuseUnprompted(ctx context.Context, err error) *Refusal {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return rs.adjustRefusal(refuseNotRun("Stopping", defaultRetryAfter, err))
	}
	return &Refusal{Status: http.StatusGatewayTimeout, Reason: "PromptTimeout", Err: err}
}
