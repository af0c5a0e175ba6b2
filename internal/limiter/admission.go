package limiter

import "time"

const (
	// overloadPressure is the ratio of the predicted to the promised time to first token above which teams that exceed
	// their fair share are refused.
	overloadPressure  = 0.7
	minimumRetryAfter = time.Second
	maximumRetryAfter = 30 * time.Second
	// shareTolerance is the multiple of its fair share that a team may use under overload.
	shareTolerance = 1.05
	// refusalPressure is the ratio above which all requests are refused.
	refusalPressure = 0.8
	// overloadLateShare and refusalLateShare are the same two limits for AdmissionInput.LateShare.
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
	// TeamRate is the team's recent cost and TeamShare its fair share of the capacity in use, both in the unit of Cost.
	TeamRate  float64
	TeamShare float64
}

// Decision says whether a request is admitted and, if it is not, why and after which delay to retry.
type Decision struct {
	Admitted   bool
	Reason     string
	RetryAfter time.Duration
}

// Admit refuses requests whose predicted time is too close to the promised time or beyond it, or whose target is late
// with too many tokens. Under overload, it also refuses requests of teams that exceed their fair share.
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
