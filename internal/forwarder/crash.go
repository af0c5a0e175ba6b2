package forwarder

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
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
	now := time.Now()
	if remaining := rs.f.Quarantine.DeniedRequest(rs.digest(), now); remaining > 0 {
		return rs.adjustRefusal(refuseNotRun("RequestDenied", remaining, nil))
	}
	if remaining := rs.f.Quarantine.Denied(rs.call.sharedParts(), now); remaining > 0 {
		return rs.adjustRefusal(refuseNotRun("PromptDenied", remaining, nil))
	}
	return nil
}

// digest returns what a request has in common with its repetitions. Of a body that is not held as a whole it covers the start.
func (rs *requestState) digest() identifier.RequestDigest {
	if rs.requestDigest == 0 {
		d := xxhash.New()
		for _, field := range []string{rs.call.Method, rs.call.Host, rs.call.URI, string(rs.teamID())} {
			fmt.Fprintf(d, "%d:%s", len(field), field)
		}
		d.Write(rs.call.Body.Buffered)
		rs.requestDigest = identifier.RequestDigest(max(1, d.Sum64()))
	}
	return rs.requestDigest
}

// digestField shows the digest in logs, in the form in which other logs name it.
func (rs *requestState) digestField() zap.Field {
	return zap.String("Digest", strconv.FormatUint(uint64(rs.digest()), 16))
}

// reportBroken reports, in the background, a request that broke before its first event if its target has crashed. began is
// set if its answer had begun.
func (rs *requestState) reportBroken(t *registrar.Target, began bool) {
	f, id, digest := rs.f, rs.call.ID, rs.digestField()
	crash := quarantiner.Crash{Target: t.ID, StartedAt: t.StartedAt, Digest: rs.digest(), Parts: rs.call.sharedParts(), Began: began, At: time.Now()}
	if n := len(crash.Parts); n > 0 {
		crash.Request = rs.call.Parts[n].ID
	}
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
		f.Logger.Info("target crashed", zap.String("RequestID", string(id)), digest, zap.String("Target", string(t.ID)), zap.Bool("Began", began))
		f.Metrics.Counter("RequestsBrokenByCrashes").Inc(1)
		f.Quarantine.Crashed(crash)
	}()
}
