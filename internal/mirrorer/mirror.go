package mirrorer

import (
	"slices"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Record is the newest record of a key; without a value the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset identifier.Offset
}

// Mirror is a copy of a keyed stream; the zero value is empty.
//
// Records may arrive in any order and more than once: of each key the one with the highest offset stays.
type Mirror struct {
	// OnChange is called, without the lock, for each record that replaced an older one; it may be nil.
	OnChange func(Record)
	// Equivalent tells that a newer value means the same as the one before, so that peers need not hear of it; it may be nil.
	Equivalent func(older, newer []byte) bool
	// OutageThreshold is how long nobody must have brought news, while calls failed, for the stream to count as away; zero: never.
	OutageThreshold time.Duration
	// FailingFor returns for how long this instance's own calls have failed: without such a failure a gap in the news is a
	// pause of this instance, or of its peers. It must be set where Outage is.
	FailingFor func(now time.Time) time.Duration

	mu      sync.Mutex
	records map[string]Record
	next    identifier.Offset
	freshAt time.Time
	// regained is when news came after the last outage.
	regained time.Time
}

// Apply takes records that are known to be all there is before next, as of the instant asOf.
//
// A zero asOf tells that the sender never heard the store, so freshness stays as it is.
func (m *Mirror) Apply(records []Record, next identifier.Offset, asOf time.Time) {
	changed := m.merge(records, next, asOf)
	if m.OnChange == nil {
		return
	}
	for _, r := range changed {
		m.OnChange(r)
	}
}

// Replace takes the newest records of all keys; keys that are not among them were dropped before next.
func (m *Mirror) Replace(records []Record, next identifier.Offset, asOf time.Time) {
	there := map[string]bool{}
	for _, r := range records {
		there[r.Key] = true
	}
	m.mu.Lock()
	for key, r := range m.records {
		if !there[key] && len(r.Value) > 0 && r.Offset < next {
			records = append(records, Record{Key: key, Offset: next - 1})
		}
	}
	m.mu.Unlock()
	m.Apply(records, next, asOf)
}

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
			m.regained = asOf
		}
		m.freshAt = asOf
	}
	return changed
}

// Next returns the offset up to which all records are known.
func (m *Mirror) Next() identifier.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.next
}

// Age returns how long ago the mirror was known to lack nothing, or false if it never was.
func (m *Mirror) Age(now time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freshAt.IsZero() {
		return 0, false
	}
	return now.Sub(m.freshAt), true
}

// RecoveredAt returns when news came after the last outage, or zero.
//
// A store that refuses this instance alone is not away: peers bring the news.
func (m *Mirror) RecoveredAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.regained
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

// Get returns the newest record of a key.
func (m *Mirror) Get(key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[key]
	return r, ok
}
