package matcher

import "github.com/coltsfootscale/coltsfootscale/pkg/identifier"

// QuotaUnits is a number of requests or tokens, depending on the kind of the quota.
type QuotaUnits float64

// QuotaRate is a number of units per second.
type QuotaRate float64

// QuotaKind says what a quota counts.
type QuotaKind int

// Kinds of quotas.
const (
	RequestQuota QuotaKind = iota
	TokenQuota
)

// Quota limits the requests of a team over all instances.
type Quota struct {
	Kind  QuotaKind
	Rate  QuotaRate
	Burst QuotaUnits
	// PlainCost is the cost of a request that states no tokens, if the quota counts tokens.
	PlainCost QuotaUnits
}

// Cost returns the cost of a request that states a number of tokens, or none if it is nil.
func (q *Quota) Cost(tokens *identifier.Tokens) QuotaUnits {
	switch {
	case q.Kind == RequestQuota:
		return 1
	case tokens == nil:
		return q.PlainCost
	}
	return QuotaUnits(*tokens)
}

// Quota returns the quota of a team, or nil if it has none.
func (t *Table) Quota(id identifier.TeamID) *Quota { return t.quotas[id] }

// Quotas returns the quotas of all teams that have one; the map must not be modified.
func (t *Table) Quotas() map[identifier.TeamID]*Quota { return t.quotas }
