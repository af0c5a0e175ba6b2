package mirrorer

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Record is the newest record of a key; an empty value means that the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset identifier.Offset
	// outdated is set while the value is that of an earlier era; any record of the current era replaces it.
	outdated bool
	// version is that of the value, if versioned is set.
	version   uint64
	versioned bool
}

// Copy is a whole copy of a keyed stream.
type Copy struct {
	Era identifier.Era
	// Records holds at least the newest record of each key; keys without one were deleted before Next.
	Records []Record
	Next    identifier.Offset
	// HistoryFrom is the offset from which on Records holds the newest record of each deleted key too. It is zero for a copy with all
	// records of the stream, and Next for one of the keys that are present.
	HistoryFrom identifier.Offset
	// AsOf is the time as of which the copy is complete; zero means that this is unknown.
	AsOf time.Time
}

// Mirror is a copy of a keyed stream in one era of the store; the zero value is empty and of era 0.
//
// Records may arrive in any order and more than once; for each key the one with the highest offset is kept. A record of a key that the mirror
// does not know counts only from the offset on up to which the mirror is complete, unless it has a version. Data of an earlier era is ignored.
// Only Replace changes to a later era, because offsets of different eras are unrelated.
type Mirror struct {
	// OnChange is called, without the lock held, for each record that is new or replaces an older one; it may be nil.
	OnChange func(Record)
	// Equivalent reports whether a newer value means the same as the older one. The record is then ignored, so that it
	// is not sent to peers. It may be nil.
	Equivalent func(older, newer []byte) bool
	// VersionOf returns the version of a record, or false if it has none. Among versioned values the one with the
	// highest version is kept, whatever the offsets and eras, and a value without a version does not replace one that has
	// one. It may be nil.
	VersionOf func(Record) (uint64, bool)
	// OutageThreshold is the shortest time without fresh data, while calls failed, that counts as an outage; zero disables
	// the detection.
	OutageThreshold time.Duration
	// FailingFor returns for how long this instance's own calls have failed. Without failed calls, a time without fresh
	// data is a pause of this instance or of its peers. It must be set if OutageThreshold is.
	FailingFor func(now time.Time) time.Duration

	mu      sync.Mutex
	records map[string]Record
	era     identifier.Era
	next    identifier.Offset
	// historyFrom is the offset from which on all removals of keys are among the records.
	historyFrom identifier.Offset
	freshAt     time.Time
	// recoveredAt is when fresh data arrived after the last outage.
	recoveredAt time.Time
}

// Apply merges records of an era into the mirror. Together with the records already in the mirror, they must be all
// records before the offset next, as of the time asOf. It has no effect if the mirror is in another era.
//
// A zero asOf means that the sender's own copy was never known to be complete; it does not change the mirror's age. A zero next
// claims nothing about the mirror as a whole: only the records are merged.
func (m *Mirror) Apply(era identifier.Era, records []Record, next identifier.Offset, asOf time.Time) {
	m.mu.Lock()
	var changed []Record
	if era == m.era {
		changed = m.merge(records, next, asOf)
	}
	m.mu.Unlock()
	m.report(changed)
}

// Replace merges a whole copy. Older records of a key are not applied. It has no effect if the mirror is in a later era.
func (m *Mirror) Replace(c Copy) {
	m.mu.Lock()
	if c.Era < m.era {
		m.mu.Unlock()
		return
	}
	newEra := c.Era > m.era
	newest := map[string]Record{}
	for _, r := range c.Records {
		if old, present := newest[r.Key]; !present || r.Offset > old.Offset {
			newest[r.Key] = r
		}
	}
	for key, r := range m.records {
		if _, present := newest[key]; !present && len(r.Value) > 0 && (newEra || r.Offset < c.Next) {
			newest[key] = Record{Key: key, Offset: max(c.Next, 1) - 1}
		}
	}
	records := slices.SortedFunc(maps.Values(newest), func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	if newEra {
		m.enter(c.Era, records, c.AsOf)
	}
	if newEra || m.next == 0 || c.HistoryFrom > m.next {
		m.historyFrom = c.HistoryFrom
	}
	changed := m.merge(records, c.Next, c.AsOf)
	m.mu.Unlock()
	m.report(changed)
}

// enter changes to a later era. Values that also exist in the new era move to their new offsets, so that they do not
// count as changes. The caller must hold mu.
func (m *Mirror) enter(era identifier.Era, records []Record, asOf time.Time) {
	old := m.records
	m.era, m.next, m.records = era, 0, map[string]Record{}
	if len(old) > 0 {
		m.recoveredAt = asOf
	}
	for _, r := range records {
		o, known := old[r.Key]
		switch {
		case !known:
		case bytes.Equal(o.Value, r.Value), len(r.Value) > 0 && m.Equivalent != nil && m.Equivalent(o.Value, r.Value):
			o.Offset, o.outdated = r.Offset, false
			m.records[r.Key] = o
		default:
			o.Offset, o.outdated = 0, true
			m.records[r.Key] = o
		}
	}
}

func (m *Mirror) report(changed []Record) {
	if m.OnChange == nil {
		return
	}
	for _, r := range changed {
		m.OnChange(r)
	}
}

// merge stores the records that are newer than the known ones, and returns them. The caller must hold mu.
func (m *Mirror) merge(records []Record, next identifier.Offset, asOf time.Time) []Record {
	if m.records == nil {
		m.records = map[string]Record{}
	}
	var changed []Record
	for _, r := range records {
		old, known := m.records[r.Key]
		if m.VersionOf != nil {
			r.version, r.versioned = m.VersionOf(r)
		}
		switch compareVersions(old, r) {
		case olderVersion:
			old.Offset, old.outdated = max(old.Offset, r.Offset), false
			m.records[r.Key] = old
			continue
		case newerVersion:
			r.Offset = max(old.Offset, r.Offset)
		case noVersion:
			if known && !old.outdated && old.Offset >= r.Offset {
				continue
			}
			if !known && !r.versioned && r.Offset < m.next {
				continue // The key was removed before the offset up to which the mirror is complete.
			}
			if known && m.Equivalent != nil && len(r.Value) > 0 && m.Equivalent(old.Value, r.Value) {
				continue
			}
		}
		m.records[r.Key] = r
		changed = append(changed, r)
	}
	m.next = max(m.next, next)
	if asOf.After(m.freshAt) && next >= m.next {
		if m.OutageThreshold > 0 && !m.freshAt.IsZero() && asOf.Sub(m.freshAt) >= m.OutageThreshold && m.FailingFor(asOf) >= m.OutageThreshold {
			m.recoveredAt = asOf
		}
		m.freshAt = asOf
	}
	return changed
}

// versionOrder is the order of two values by their versions.
type versionOrder int

const (
	noVersion versionOrder = iota
	olderVersion
	newerVersion
)

// compareVersions returns how the version of r compares with that of old. Without a version in old, offsets decide.
func compareVersions(old, r Record) versionOrder {
	switch {
	case !old.versioned:
		return noVersion
	case r.versioned && r.version > old.version:
		return newerVersion
	}
	return olderVersion
}

// Position returns the era of the mirror and the offset up to which it is complete.
func (m *Mirror) Position() identifier.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return identifier.Position{Era: m.era, Offset: m.next}
}

// HistoryFrom returns the offset from which on the mirror holds all removals of keys. Of a key that was removed before, it may have no
// trace.
func (m *Mirror) HistoryFrom() identifier.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.historyFrom
}

// Version returns the highest version among the records, or zero if none has one.
func (m *Mirror) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	highest := uint64(0)
	if m.VersionOf != nil {
		for _, r := range m.records {
			highest = max(highest, r.version)
		}
	}
	return highest
}

// Age returns the time since the mirror was known to be complete, or false if it never was.
func (m *Mirror) Age(now time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freshAt.IsZero() {
		return 0, false
	}
	return now.Sub(m.freshAt), true
}

// RecoveredAt returns when fresh data arrived after the last outage or from a new era of the store, or zero if there was
// neither.
//
// A store that refuses only this instance is not an outage, because peers send fresh data.
func (m *Mirror) RecoveredAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recoveredAt
}

// Newer returns the records from an offset on, and those whose version is higher than the given one, oldest first.
func (m *Mirror) Newer(from identifier.Offset, version uint64) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Record
	for _, r := range m.records {
		if r.Offset >= from || r.version > version {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return list
}

// Get returns the newest record of a key, or false if none is known.
func (m *Mirror) Get(key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[key]
	return r, ok
}
