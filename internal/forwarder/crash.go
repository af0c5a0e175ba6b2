package forwarder

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// reachabilityTimeout bounds the check whether a target has crashed.
const reachabilityTimeout = time.Second

// sharedParts returns the parts of the prompt that other requests may have too: all but the last.
func (c *Call) sharedParts() []identifier.PartID {
	var list []identifier.PartID
	for _, p := range c.Parts[:max(0, len(c.Parts)-1)] {
		list = append(list, p.ID)
	}
	return list
}

// refuseDenied refuses a request under which targets crash, or returns nil.
func (rs *requestState) refuseDenied() *Refusal {
	remaining := rs.f.Quarantine.Denied(rs.call.sharedParts(), time.Now())
	if remaining == 0 {
		return nil
	}
	return rs.adjustRefusal(refuseNotRun("PromptDenied", remaining, nil))
}

// reportBroken reports, in the background, a request that broke before its first event if its target has crashed. began is
// set if its answer had begun.
func (rs *requestState) reportBroken(t *registrar.Target, began bool) {
	parts := rs.call.sharedParts()
	if len(parts) == 0 {
		return
	}
	crash := quarantiner.Crash{
		Target: t.ID, StartedAt: t.StartedAt, Request: rs.call.Parts[len(parts)].ID, Parts: parts, Began: began, At: time.Now(),
	}
	f, id := rs.f, rs.call.ID
	go func() {
		key := string(t.ID) + "/" + strconv.FormatInt(t.StartedAt.UnixMilli(), 10)
		reachable, _, _ := f.reachability.Do(key, func() (any, error) {
			ctx, cancel := context.WithTimeout(context.Background(), reachabilityTimeout)
			defer cancel()
			return f.Backend.Reachable(ctx, t), nil
		})
		if reachable.(bool) {
			return
		}
		f.Logger.Info("target crashed", zap.String("RequestID", string(id)), zap.String("Target", string(t.ID)), zap.Bool("Began", began))
		f.Quarantine.Crashed(crash)
	}()
}
