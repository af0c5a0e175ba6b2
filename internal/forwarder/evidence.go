package forwarder

import "errors"

// Evidence is what the claim that a request has not run rests on. Of several kinds the last one in the order of the constants counts.
type Evidence int

const (
	// OwnDecision means that this instance sent the request nowhere.
	OwnDecision Evidence = iota
	// NothingSent means that no byte of the request left this instance.
	NothingSent
	// TargetSaid means that each target that got the request said that it did not run it.
	TargetSaid
	// PeerSaid means that a peer said so.
	PeerSaid
)

// String returns the name that logs and metrics use.
func (e Evidence) String() string {
	return [...]string{"OwnDecision", "NothingSent", "TargetSaid", "PeerSaid"}[e]
}

// addEvidence records what the error of an attempt at a target says.
func (rs *requestState) addEvidence(err error) {
	switch {
	case errors.Is(err, errMemory):
	case errors.Is(err, ErrNotSent):
		rs.evidence = max(rs.evidence, NothingSent)
	case errors.Is(err, ErrNotRun):
		rs.evidence = max(rs.evidence, TargetSaid)
	}
}
