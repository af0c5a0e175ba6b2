package mirrorer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func record(key, value string, offset identifier.Offset) mirrorer.Record {
	return mirrorer.Record{Key: key, Value: []byte(value), Offset: offset}
}

func value(m *mirrorer.Mirror, key string) string {
	r, _ := m.Get(key)
	return string(r.Value)
}

// TestNewEraReplacesHigherOffsets checks that a copy follows a store that came back with lower offsets, and that data of
// the earlier era no longer counts.
func TestNewEraReplacesHigherOffsets(t *testing.T) {
	changes := map[string]int{}
	m := &mirrorer.Mirror{OnChange: func(r mirrorer.Record) { changes[r.Key]++ }}
	m.Apply(0, []mirrorer.Record{record("same", "1", 1), record("changed", "new", 8), record("lost", "1", 9)}, 10, at(0))
	clear(changes)
	m.Apply(1, []mirrorer.Record{record("changed", "old", 2)}, 3, at(1))
	quicktest.Check(t, value(m, "changed"), quicktest.Equals, "new", quicktest.Commentf("a part of the new era is not complete"))
	m.Replace(mirrorer.Copy{Era: 1, Records: []mirrorer.Record{record("same", "1", 1), record("changed", "old", 2)}, Next: 3, AsOf: at(2)})
	quicktest.Check(t, m.Position(), quicktest.Equals, identifier.Position{Era: 1, Offset: 3})
	quicktest.Check(t, value(m, "changed")+value(m, "lost"), quicktest.Equals, "old")
	quicktest.Check(t, changes, quicktest.DeepEquals, map[string]int{"changed": 1, "lost": 1})
	quicktest.Check(t, m.RecoveredAt(), quicktest.Equals, at(2), quicktest.Commentf("entries that are missing may be written again"))
	m.Apply(0, []mirrorer.Record{record("changed", "newer", 10)}, 11, at(3))
	m.Replace(mirrorer.Copy{Era: 0, Records: []mirrorer.Record{record("changed", "newer", 10)}, Next: 11, AsOf: at(3)})
	quicktest.Check(t, value(m, "changed"), quicktest.Equals, "old")
	m.Apply(1, []mirrorer.Record{record("lost", "1", 3)}, 4, at(4))
	quicktest.Check(t, value(m, "lost"), quicktest.Equals, "1")
	age, known := m.Age(at(5))
	quicktest.Check(t, age == time.Second && known, quicktest.IsTrue)
}

// TestVersionsNeverFall checks that a versioned value survives a return of the store and reaches a copy that has only
// the older one, although the offsets suggest that it lacks nothing.
func TestVersionsNeverFall(t *testing.T) {
	versionOf := func(r mirrorer.Record) (uint64, bool) {
		n, err := strconv.ParseUint(string(r.Value), 10, 64)
		return n, err == nil
	}
	survivor, restarted := &mirrorer.Mirror{VersionOf: versionOf}, &mirrorer.Mirror{VersionOf: versionOf}
	survivor.Apply(0, []mirrorer.Record{record("config", "7", 4), record("config", "9", 6)}, 7, at(0))
	older := []mirrorer.Record{record("config", "7", 4)}
	survivor.Replace(mirrorer.Copy{Era: 1, Records: older, Next: 5, AsOf: at(1)})
	restarted.Replace(mirrorer.Copy{Era: 1, Records: older, Next: 5, AsOf: at(1)})
	quicktest.Check(t, value(survivor, "config"), quicktest.Equals, "9")
	quicktest.Check(t, value(restarted, "config"), quicktest.Equals, "7")
	missing := survivor.Newer(restarted.Position().Offset, restarted.Version())
	restarted.Apply(1, missing, 5, at(2))
	quicktest.Check(t, value(restarted, "config"), quicktest.Equals, "9")
	emptied := &mirrorer.Mirror{VersionOf: versionOf}
	emptied.Replace(mirrorer.Copy{Era: 1, Next: 5, AsOf: at(1)})
	emptied.Apply(1, survivor.Newer(emptied.Position().Offset, emptied.Version()), 5, at(2))
	quicktest.Check(t, value(emptied, "config"), quicktest.Equals, "9", quicktest.Commentf("the store has lost the key"))
	for _, lower := range []string{"8", "9", "not readable", ""} {
		survivor.Apply(1, []mirrorer.Record{record("config", lower, 5)}, 6, at(3))
		quicktest.Check(t, value(survivor, "config"), quicktest.Equals, "9", quicktest.Commentf("after %q", lower))
	}
	survivor.Apply(1, []mirrorer.Record{record("config", "10", 6)}, 7, at(4))
	quicktest.Check(t, value(survivor, "config"), quicktest.Equals, "10")
}
