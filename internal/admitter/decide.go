package admitter

import (
	"math"
	"time"
)

// Reason says why a request is refused; it is empty if the request is admitted.
type Reason string

// Reasons.
const (
	// OutOfTime refuses a request that could not begin to be answered before its deadline.
	OutOfTime Reason = "OutOfTime"
	// LessUrgent refuses a request in favor of more urgent ones.
	LessUrgent Reason = "LessUrgent"
)

const (
	// maximumAge is the age beyond which loads and pressure say nothing about the present.
	maximumAge = 2 * time.Second
	// minimumPressure is the ratio of wait to promised latency below which nothing is refused as less urgent; from there to fullPressure
	// the refused share rises to what the controller calls for. At targetPressure exactly the overload is refused.
	minimumPressure = 0.25
	fullPressure    = 0.4
	targetPressure  = 1
	// feedback is the rise of the exponent of the admitted share with the wait beyond the target, per second. Loads are up to
	// 1.5 s old with the way of a status, and a loop with that delay is stable below pi/2 over it, which is 1.05.
	feedback = 0.6
	// maximumOpening and maximumClosing bound the exponent that feedback adds to that of the offered work: at
	// most 1.6 times and at least half of what the targets can do is admitted.
	maximumOpening = 0.5
	maximumClosing = 0.7
	// minimumRetryAfter is the least Retry-After of a refusal.
	minimumRetryAfter = 50 * time.Millisecond
	// remainingDivisor limits a Retry-After to a third of the time left, so that the client can still be served when it returns.
	remainingDivisor = 3
)

// Input is what a decision rests on.
type Input struct {
	// Predicted is the predicted time to the first event at the best target, and Wait the part of it that other requests cause.
	Predicted time.Duration
	Wait      time.Duration
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// Promised is the smoothed promised latency of the service.
	Promised time.Duration
	// LoadAge is the age of the loads behind Predicted.
	LoadAge time.Duration
	// Idle is set if so many targets of the stage have no work that nothing is refused; see Idle.
	Idle bool
	// Pressure is the smoothed ratio of wait to promised latency, and PressureAge the time since its last sample.
	Pressure    float64
	PressureAge time.Duration
	// Starting is set in the first seconds of the instance, when it has not measured enough.
	Starting bool
	// Offered is the offered work as a multiple of what the targets can do, as far as known.
	Offered float64
	// Position is the request's place in the order of urgency, from 0 to 1: the share of the offered work that comes before it.
	Position float64
}

// Decision is the result for one request.
type Decision struct {
	// Reason is empty if the request is admitted.
	Reason Reason
	// RetryAfter is the predicted time until a request like this one would be admitted, without the part that spreads clients.
	RetryAfter time.Duration
}

// Decide decides on one request.
func Decide(in *Input) Decision {
	if in.Idle {
		return Decision{}
	}
	if in.Predicted > in.Remaining {
		return Decision{Reason: OutOfTime, RetryAfter: retryAfter(in, in.Predicted-in.Remaining)}
	}
	if in.Starting || in.LoadAge > maximumAge || in.PressureAge > maximumAge || in.Position < AdmittedShare(in) {
		return Decision{}
	}
	return Decision{Reason: LessUrgent, RetryAfter: retryAfter(in, in.Wait-time.Duration(minimumPressure*float64(in.Promised)))}
}

// AdmittedShare returns the share of the offered work that is admitted, in the order of urgency.
func AdmittedShare(in *Input) float64 {
	if in.Pressure <= minimumPressure {
		return 1
	}
	excess := (in.Pressure - targetPressure) * in.Promised.Seconds()
	exponent := math.Log(max(1, in.Offered)) + max(-maximumOpening, min(maximumClosing, feedback*excess))
	ramp := min(1, (in.Pressure-minimumPressure)/(fullPressure-minimumPressure))
	return math.Exp(-ramp * max(0, exponent))
}

// retryAfter bounds the time after which a client is asked to return.
func retryAfter(in *Input, wait time.Duration) time.Duration {
	return max(minimumRetryAfter, min(wait, in.Remaining/remainingDivisor))
}
