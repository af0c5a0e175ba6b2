package forwarder

import (
	"cmp"
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
)

// noteRefused counts and logs the response of a target or a peer if err says that it was refused. What breaks because the client has left, or at the
// deadline, is no fault of the target.
func (rs *requestState) noteRefused(ctx context.Context, responder string, err error) {
	reason := inspector.ReasonOf(err)
	if reason == "" || ctx.Err() != nil {
		return
	}
	rs.f.Metrics.Tagged(map[string]string{"Reason": string(reason)}).Counter("ResponsesRefused").Inc(1)
	rs.f.Logger.Warn("response refused", zap.String("RequestID", string(rs.call.ID)), zap.String("Target", responder),
		zap.String("Reason", string(reason)), zap.Error(err))
}

// responder returns the target or peer of the last attempt.
func (rs *requestState) responder() string {
	return cmp.Or(rs.logEntry.peer, string(rs.logEntry.answerTarget))
}
