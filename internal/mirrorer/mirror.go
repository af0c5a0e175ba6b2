package mirrorer

import (
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
}

// Mirror is a copy of a keyed stream; the zero value is empty.
//
// Records may arrive in any order and more than once; for each key the one with the highest offset is kept.
type Mirror struct {
	// OnChange is called, without the lock held, for each record that is new or replaces an older one; it may be nil.
	OnChange func(Record)
	// Equivalent reports whether a newer value means the same as the older one. The record is then ignored, so that it
	// is not sent to peers. It may be nil.
	Equivalent func(older, newer []byte) bool
	// OutageThreshold is the shortest time without fresh data, while calls failed, that counts as an outage; zero disables
	// the detection.
	OutageThreshold time.Duration
	// FailingFor returns for how long this instance's own calls have failed. Without failed calls, a time without fresh
	// data is a pause of this instance or of its peers. It must be set if OutageThreshold is.
	FailingFor func(now time.Time) time.Duration

	mu      sync.Mutex
	records map[string]Record
	next    identifier.Offset
	freshAt time.Time
	// recoveredAt is when fresh data arrived after the last outage.
	recoveredAt time.Time
}

// Apply merges records into the mirror. Together with the records already in the mirror, they must be all records before
// the offset next, as of the time asOf.
//
// A zero asOf means that the sender's own copy was never known to be complete; it does not change the mirror's age.
func (m *Mirror) Apply(records []Record, next identifier.Offset, asOf time.Time) {
	changed := m.merge(records, next, asOf)
	if m.OnChange == nil {
		return
	}
	for _, r := range changed {
		m.OnChange(r)
	}
}

// Replace merges the newest records of all keys; keys without a record were deleted before next.
func (m *Mirror) Replace(records []Record, next identifier.Offset, asOf time.Time) {
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
	}
	m.mu.Lock()
	for key, r := range m.records {
		if !present[key] && len(r.Value) > 0 && r.Offset < next {
			records = append(records, Record{Key: key, Offset: next - 1})
		}
	}
	m.mu.Unlock()
	m.Apply(records, next, asOf)
}

// merge stores the records that are newer than the known ones, and returns them.
func (m *Mirror) merge(records []Record, next identifier.Offset, asOf time.Time) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records == nil {
		m.records = map[string]Record{}
	}
	var changed []Record
	for _, r := range records {
		old, known := m.records[r.Key]
		if known && old.Offset >= r.Offset {
			continue
		}
		if known && m.Equivalent != nil && len(r.Value) > 0 && m.Equivalent(old.Value, r.Value) {
			continue
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

// Next returns the offset up to which the mirror is complete.
func (m *Mirror) Next() identifier.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.next
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

// RecoveredAt returns when fresh data arrived after the last outage, or zero if there was none.
//
// A store that refuses only this instance is not an outage, because peers send fresh data.
func (m *Mirror) RecoveredAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recoveredAt
}

// Since returns the records from an offset on, oldest first.
func (m *Mirror) Since(from identifier.Offset) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Record
	for _, r := range m.records {
		if r.Offset >= from {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return int(a.Offset) - int(b.Offset) })
	return list
}

// Get returns the newest record of a key, or false if none is known.
func (m *Mirror) Get(key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[key]
	return r, ok
}
