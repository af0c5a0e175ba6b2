package forwarder

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
)

const (
	// silenceDivisor gives the share of the promised latency within which an attempt at a silent target is ended, and checkDivisor the
	// part of it at the end in which the target is checked.
	silenceDivisor = 4
	checkDivisor   = 16
	// minimumSilence and minimumCheck keep an instance that gets its processor share in periods of 100 ms from taking sound targets
	// for silent.
	minimumSilence = 25 * time.Millisecond
	minimumCheck   = 50 * time.Millisecond
)

// endIfSilent ends an attempt, by cancel, once its target has answered nothing since and accepts no connection either, if another
// attempt is then allowed. The returned function ends the watch and reports whether the attempt was ended.
//
// A target with a long queue accepts connections, and one that has answered any request in the meantime is not silent. Without
// admission control nothing is watched: each check opens a connection, of which other deployments get none.
func (rs *requestState) endIfSilent(ctx context.Context, t *registrar.Target, cancel func(), allowed func() bool) (stop func() bool) {
	if rs.f.Admission == nil || rs.route.Latency <= 0 {
		return func() bool { return false }
	}
	check := max(minimumCheck, rs.route.Latency/checkDivisor)
	silence := max(minimumSilence, rs.route.Latency/silenceDivisor-check)
	ctx, end := context.WithCancel(ctx)
	finished := make(chan struct{})
	var ended atomic.Bool
	go func() {
		defer close(finished)
		// Each check opens a connection, so they become rarer at a target that accepts them.
		for ; ; silence *= 2 {
			since := time.Now()
			select {
			case <-ctx.Done():
				return
			case <-time.After(silence):
			}
			if rs.f.Reach.Silent(ctx, t.Address, since, check) && ctx.Err() == nil && allowed() {
				ended.Store(true)
				cancel()
				return
			}
		}
	}()
	return func() bool {
		end()
		<-finished
		return ended.Load()
	}
}

// mayPrefillElsewhere returns a function that reports whether a prefill may be ended at a silent target, and then takes the next one
// from the retry budget.
func (rs *requestState) mayPrefillElsewhere(t *registrar.Target) func() bool {
	f, service, failed, prefills := rs.f, rs.service, slices.Clone(rs.failedTargets), rs.prefills
	return func() bool {
		return prefills < maximumPrefills && f.otherLive(service, t, failed) && f.Budget.TakeRetry(service)
	}
}

// mayRunElsewhere is mayPrefillElsewhere for a request that may be repeated from its beginning.
func (rs *requestState) mayRunElsewhere(t *registrar.Target) func() bool {
	f, service, failed, deadline := rs.f, rs.service, slices.Clone(rs.failedTargets), rs.deadline
	possible := rs.repeatable() && rs.call.Body.Whole() && rs.attempts < rs.route.Attempts
	return func() bool {
		return possible && time.Until(deadline) > minimumRemaining && f.otherLive(service, t, failed) && f.Budget.TakeRetry(service)
	}
}

// run sends the request to a target, and ends an attempt that may be repeated at a silent one.
func (rs *requestState) run(ctx context.Context, t *registrar.Target, source *KVHandle, lastEvent string) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := rs.endIfSilent(ctx, t, cancel, rs.mayRunElsewhere(t))
	response, err := rs.f.Backend.Run(ctx, rs.call, rs.attempt(t, source, lastEvent))
	ended := stop()
	if err != nil {
		cancel()
		rs.retryTaken = ended
		return nil, err
	}
	response.Body = &endingBody{response.Body, cancel}
	return response, nil
}
