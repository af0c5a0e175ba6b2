package coordinator

import (
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
)

// RefusedFunc receives a call to a target, the store or the cloud, and its error.
type RefusedFunc func(ctx context.Context, responder, call string, err error)

// noteRefused counts and logs the response to a call if err says that it was refused.
func (c *Coordinator) noteRefused(ctx context.Context, responder, call string, err error) {
	reason := inspector.ReasonOf(err)
	if reason == "" || ctx.Err() != nil {
		return
	}
	c.metrics.Tagged(map[string]string{"Reason": string(reason)}).Counter("ResponsesRefused").Inc(1)
	c.logger.Warn("response refused", zap.String("Call", call), zap.String("Target", responder), zap.String("Reason", string(reason)), zap.Error(err))
}
