package forwarder

import (
	"errors"
	"slices"
)

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

var evidenceNames = []string{"OwnDecision", "NothingSent", "TargetSaid", "PeerSaid"}

// String returns the name that logs, metrics and peers use.
func (e Evidence) String() string { return evidenceNames[e] }

// ParseEvidence returns the evidence with a name, or false if there is none.
func ParseEvidence(name string) (Evidence, bool) {
	i := slices.Index(evidenceNames, name)
	return Evidence(max(0, i)), i >= 0
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
