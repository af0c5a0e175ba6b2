package limiter

import "time"

const (
	overloadPressure  = 0.7
	minimumRetryAfter = time.Second
	maximumRetryAfter = 30 * time.Second
	shareTolerance    = 1.05
	refusalPressure   = 0.8
	overloadLateShare = 0.05
	refusalLateShare  = 0.10
)

// AdmissionInput is the input of Admit.
type AdmissionInput struct {
	// Predicted is the time to first token at the best target.
	Predicted time.Duration
	// Promised is the promised time to first token.
	Promised time.Duration
	// LateShare is the share of recent tokens at that target that were later than promised.
	LateShare float64
	// TeamRate is the team's recent cost, TeamShare its fair share; both are shares of the capacity.
	TeamRate  float64
	TeamShare float64
}

// Decision says whether a request is admitted and, if it is not, why and after which delay to retry.
type Decision struct {
	Admitted   bool
	Reason     string
	RetryAfter time.Duration
}

// Admit refuses requests that can't be served within the promised time and, under overload, requests of teams that
// exceed their fair share.
func Admit(in AdmissionInput) Decision {
	pressure := float64(in.Predicted) / float64(max(in.Promised, time.Millisecond))
	if pressure > refusalPressure || in.LateShare > refusalLateShare {
		return Decision{Reason: "PromiseOutOfReach", RetryAfter: retryAfter(in.Predicted - in.Promised)}
	}
	if (pressure > overloadPressure || in.LateShare > overloadLateShare) && in.TeamRate > in.TeamShare*shareTolerance {
		return Decision{Reason: "OverShare", RetryAfter: retryAfter(in.Predicted)}
	}
	return Decision{Admitted: true, Reason: "Admitted"}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(maximumRetryAfter, max(minimumRetryAfter, wait))
}
