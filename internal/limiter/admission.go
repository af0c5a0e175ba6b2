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

// Load is what an admission decision depends on.
type Load struct {
	// Predicted is the time to first token at the best target.
	Predicted time.Duration
	// Promised is the promised time to first token.
	Promised time.Duration
	// Late is the share of recent tokens at that target that came later than promised.
	Late float64
	// TeamRate and TeamShare are the team's recent cost and its fair share of the capacity in use.
	TeamRate  float64
	TeamShare float64
}

// Verdict tells whether a request is admitted and, where it is not, when to come back.
type Verdict struct {
	Admitted bool
	Reason   string
	Return   time.Duration
}

// Admit refuses what cannot be served within the promise, and under overload what exceeds the team's share.
func Admit(l Load) Verdict {
	pressure := float64(l.Predicted) / float64(max(l.Promised, time.Millisecond))
	if pressure > hopeless || l.Late > lateHopeless {
		return Verdict{Reason: "PromiseOutOfReach", Return: comeBack(l.Predicted - l.Promised)}
	}
	if (pressure > overload || l.Late > lateOverload) && l.TeamRate > l.TeamShare*fairSlack {
		return Verdict{Reason: "OverShare", Return: comeBack(l.Predicted)}
	}
	return Verdict{Admitted: true, Reason: "Admitted"}
}

func comeBack(wait time.Duration) time.Duration {
	return min(maximumReturn, max(minimumReturn, wait))
}
