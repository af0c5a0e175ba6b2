package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// memoryShare is the share of a target's KV memory that is reserved at most, by what is known here. Loads are a second old; the
	// rest is for what other instances send in the meantime.
	memoryShare = 0.9
	// maximumMemoryWait limits how long a request waits, before its prefill, for memory at an answer target.
	maximumMemoryWait = time.Second
	// memoryWaitDivisor limits that wait to a part of the time left.
	memoryWaitDivisor = 4
	// answerSpan is the number of answers over which their duration is averaged.
	answerSpan = 20
	// maximumMemoryRetryAfter bounds the Retry-After of a request for which no target has memory.
	maximumMemoryRetryAfter = 10 * time.Second
)

// errMemory is the error of an attempt that was not sent because the target's memory had been reserved since it was chosen.
var errMemory = errors.New("no KV memory at the target")

// answerDurations holds the mean duration of the answers of each service; the zero value is ready to use.
type answerDurations struct {
	mu    sync.Mutex
	means map[identifier.ServiceID]time.Duration
}

func (d *answerDurations) add(id identifier.ServiceID, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.means == nil {
		d.means = map[identifier.ServiceID]time.Duration{}
	}
	mean, known := d.means[id]
	if !known {
		mean = took
	}
	d.means[id] = mean + (took-mean)/answerSpan
}

func (d *answerDurations) mean(id identifier.ServiceID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.means[id]
}

// answerLoad returns the work of the request at its answer target: a prompt and its answer take up KV memory until the answer ends.
func (rs *requestState) answerLoad() chooser.Load {
	load := chooser.Load{Answers: 1}
	if rs.route.HasPrompts {
		load.AnswerTokens = rs.call.AnswerTokens
		for _, part := range rs.call.Parts {
			load.AnswerTokens += part.Tokens
		}
	}
	return load
}

// memoryLimit returns the tokens that may be reserved at an answer target, or zero if its memory is not known.
func (rs *requestState) memoryLimit() identifier.Tokens {
	if !rs.route.HasPrompts {
		return 0
	}
	t := rs.f.Table()
	if t == nil {
		return 0
	}
	if s := t.Service(rs.service); s != nil && s.Engine != nil {
		return identifier.Tokens(memoryShare * float64(s.Engine.CacheTokens))
	}
	return 0
}

// withMemory returns the targets that have memory for the request, and records how much is missing if none has.
func (rs *requestState) withMemory(list []chooser.Candidate) []chooser.Candidate {
	rs.memoryFull, rs.memoryWait = false, 0
	limit, needed := rs.memoryLimit(), rs.answerLoad().AnswerTokens
	if limit <= 0 || needed == 0 || len(list) == 0 {
		return list
	}
	var fitting []chooser.Candidate
	least := maximumMemoryRetryAfter
	for i := range list {
		held := list[i].Load.AnswerTokens
		if held+needed <= limit {
			fitting = append(fitting, list[i])
			continue
		}
		if held > 0 && needed <= limit {
			// What is held ends within the duration of an answer, evenly as far as known.
			share := float64(held+needed-limit) / float64(held)
			least = min(least, time.Duration(share*float64(rs.f.answers.mean(rs.service))))
		}
	}
	if len(fitting) == 0 {
		rs.memoryFull, rs.memoryWait = true, least
	}
	return fitting
}

// ReservedShare returns the largest share of a target's KV memory that is reserved, peers' reservations with it.
func (f *Forwarder) ReservedShare(now time.Time) float64 {
	t, most := f.Table(), 0.0
	if t == nil {
		return 0
	}
	for i := range t.Services {
		s := &t.Services[i]
		if s.Engine == nil || s.Engine.CacheTokens <= 0 {
			continue
		}
		for _, c := range f.TargetStates.Candidates(f.Targets(s.ID, now), nil, now) {
			most = max(most, float64(c.Load.AnswerTokens)/float64(s.Engine.CacheTokens))
		}
	}
	return most
}

// awaitMemory waits until an answer target has memory again, at most until the given time. It returns false if there was nothing to
// wait for.
func (rs *requestState) awaitMemory(ctx context.Context, until time.Time) bool {
	if !rs.memoryFull || rs.answerLoad().AnswerTokens > rs.memoryLimit() || !time.Now().Before(until) {
		return false
	}
	return sleeper.Sleep(ctx, minimumAnswerWait) == nil
}

// memoryDeadline returns until when a request waits for memory before its prefill.
func (rs *requestState) memoryDeadline() time.Time {
	return time.Now().Add(min(maximumMemoryWait, time.Until(rs.deadline)/memoryWaitDivisor))
}

// refuseMemory refuses a request for which no answer target has memory.
func (rs *requestState) refuseMemory() *Refusal {
	retryAfter := max(defaultRetryAfter, rs.memoryWait)
	return refuseNotRun("MemoryFull", retryAfter+rand.N(max(retryAfter/2, 1)), nil)
}
