package calibrator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ownSamples is the number of own samples of an estimate. Recent ones count, since a target's speed changes.
	ownSamples = 8
	// serviceSamples is the same for the value of a service, which has the samples of all targets.
	serviceSamples = 48
	// peerLifetime is how long a peer's estimate counts without news.
	peerLifetime = 10 * time.Second
	// trustedSamples is the number of samples at which a target's value counts half against that of its service. A tenth of the
	// calls takes up to three times as long, and more meet an unknown queue, so that a few samples show little.
	trustedSamples = 2.5
	// quantile is the quantile that counts of the samples of a target, and of those of its service with which it is compared.
	// Queues that no instance knew of only lengthen calls, and with loads that are a second old half of the calls meet one: with
	// medians, targets that had met queues looked slow, the others got their work, and met more queues.
	quantile = 0.3
	// reportChange and reportInterval: an estimate is reported once it has changed by a tenth, or after three seconds of use. The
	// first ones are also reported when their samples have doubled, because a few samples count for little.
	reportChange   = 0.1
	reportInterval = 3 * time.Second
)

// evidence is a measured time, as the logarithm of seconds, with its weight: the number of samples behind it.
type evidence struct {
	log, weight float64
	at          time.Time
}

type peerEvidence struct {
	evidence
	fromHub bool
}

// estimate is a learned time: a weighted quantile of own samples and what peers report of theirs, which is moved little by a
// sample that is far off.
type estimate struct {
	// ofService is set if it is the value of a whole service.
	ofService bool
	samples   []evidence
	next      int
	peers     map[string]peerEvidence
	pooled    evidence

	sequence    uint64
	reportedLog float64
	reportedAt  time.Time
	// reportedWeight is the weight at the last report.
	reportedWeight float64
}

func (e *estimate) observe(seconds, weight float64, now time.Time) {
	s := evidence{math.Log(seconds), weight, now}
	if limit := e.limit(); len(e.samples) < limit {
		e.samples = append(e.samples, s)
	} else {
		e.samples[e.next%limit] = s
	}
	e.next++
	e.pool(now)
}

func (e *estimate) limit() int {
	if e.ofService {
		return serviceSamples
	}
	return ownSamples
}

func (e *estimate) merge(source string, p peerEvidence, now time.Time) {
	if e.peers == nil {
		e.peers = map[string]peerEvidence{}
	}
	e.peers[source] = p
	e.pool(now)
}

// pool forgets what is too old, and combines the rest.
func (e *estimate) pool(now time.Time) {
	for source, p := range e.peers {
		if now.Sub(p.at) > peerLifetime {
			delete(e.peers, source)
		}
	}
	e.pooled = e.combine(All, now)
}

// combine returns the weighted quantile of the samples in a scope.
func (e *estimate) combine(scope Scope, now time.Time) evidence {
	var buffer [serviceSamples + 16]evidence
	list := buffer[:0]
	for _, s := range e.samples {
		if now.Sub(s.at) <= sampleLifetime {
			list = append(list, s)
		}
	}
	for _, p := range e.peers {
		if scope == All || scope == FirstHand && !p.fromHub {
			list = append(list, p.evidence)
		}
	}
	return weightedQuantile(list, quantile, now)
}

// weightedQuantile sorts the list and returns its quantile with the total weight. Exactly between two values it takes the mean.
func weightedQuantile(list []evidence, q float64, now time.Time) evidence {
	slices.SortFunc(list, func(a, b evidence) int { return cmp.Compare(a.log, b.log) })
	total := 0.0
	for _, s := range list {
		total += s.weight
	}
	below := 0.0
	for i, s := range list {
		switch below += s.weight; {
		case below > total*q:
			return evidence{s.log, total, now}
		case below == total*q && i+1 < len(list):
			return evidence{(s.log + list[i+1].log) / 2, total, now}
		}
	}
	return evidence{at: now}
}

// value returns the learned time in seconds, which tends to the given one with few samples.
func (e *estimate) value(prior float64) float64 {
	switch {
	case e == nil || e.pooled.weight == 0:
		return prior
	case prior <= 0:
		return math.Exp(e.pooled.log)
	}
	return prior * math.Exp(e.deviation(math.Log(prior)))
}

// deviation returns by how much the learned time differs from a service's, as logarithms. It tends to zero with few samples.
func (e *estimate) deviation(logService float64) float64 {
	square := e.pooled.weight * e.pooled.weight
	return (e.pooled.log - logService) * square / (square + trustedSamples*trustedSamples)
}

// due reports whether the estimate is to be reported, and notes that it is.
func (e *estimate) due(now time.Time) bool {
	doubled := e.pooled.weight >= 2*e.reportedWeight && e.reportedWeight < ownSamples
	if !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < reportInterval && math.Abs(e.pooled.log-e.reportedLog) < reportChange && !doubled {
		return false
	}
	e.reportedLog, e.reportedAt, e.reportedWeight = e.pooled.log, now, e.pooled.weight
	return true
}
