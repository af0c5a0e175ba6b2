package limiter

import "time"

const (
	overload      = 0.7
	minimumReturn = time.Second
	maximumReturn = 30 * time.Second
	fairSlack     = 1.05
	hopeless      = 0.8
	lateOverload  = 0.05
	lateHopeless  = 0.10
)

// AdmissionInput is what an admission decision depends on.
type AdmissionInput struct {
	// Predicted is the time to first token at the best target.
	Predicted time.Duration
	// Promised is the promised time to first token.
	Promised time.Duration
	// LateShare is the share of recent tokens at that target that came later than promised.
	LateShare float64
	// TeamRate and TeamShare are the team's recent cost and its fair share of the capacity in use.
	TeamRate  float64
	TeamShare float64
}

// Decision tells whether a request is admitted and, where it is not, when to come back.
type Decision struct {
	Admitted   bool
	Reason     string
	RetryAfter time.Duration
}

// Admit refuses what cannot be served within the promise, and under overload what exceeds the team's share.
func Admit(l AdmissionInput) Decision {
	pressure := float64(l.Predicted) / float64(max(l.Promised, time.Millisecond))
	if pressure > hopeless || l.LateShare > lateHopeless {
		return Decision{Reason: "PromiseOutOfReach", RetryAfter: comeBack(l.Predicted - l.Promised)}
	}
	if (pressure > overload || l.LateShare > lateOverload) && l.TeamRate > l.TeamShare*fairSlack {
		return Decision{Reason: "OverShare", RetryAfter: comeBack(l.Predicted)}
	}
	return Decision{Admitted: true, Reason: "Admitted"}
}

func comeBack(wait time.Duration) time.Duration {
	return min(maximumReturn, max(minimumReturn, wait))
}
