package configurator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func publish(id string, base uint64) *recorder.Record {
	return &recorder.Record{ID: id, Body: &recorder.Record_Publish{Publish: &recorder.Publish{BaseVersion: base}}}
}

func grant(id, key, hash string) *recorder.Record {
	k := &recorder.Key{ID: key, Hash: hash, Team: "t"}
	return &recorder.Record{ID: id, Body: &recorder.Record_KeyGrant{KeyGrant: &recorder.KeyGrant{Key: k}}}
}

func withdraw(id, key string) *recorder.Record {
	return &recorder.Record{ID: id, Body: &recorder.Record_KeyWithdraw{KeyWithdraw: &recorder.KeyWithdraw{ID: key}}}
}

func join(id, instance, incarnation string, version uint64) *recorder.Record {
	m := &recorder.Member{Instance: instance, Incarnation: incarnation}
	return &recorder.Record{ID: id, Body: &recorder.Record_Join{Join: &recorder.Join{Member: m, MembersVersion: version}}}
}

func apply(records ...*recorder.Record) *configurator.Fold {
	f := &configurator.Fold{}
	for i, r := range records {
		f.Apply(identifier.Offset(i), r)
	}
	return f
}

func TestVerdicts(t *testing.T) {
	for name, tc := range map[string]struct {
		records  []*recorder.Record
		accepted bool
	}{
		"publish on the version in force":    {[]*recorder.Record{publish("x", 0)}, true},
		"publish on an older version":        {[]*recorder.Record{publish("1", 0), publish("x", 0)}, false},
		"publish appended twice":             {[]*recorder.Record{publish("x", 0), publish("x", 0)}, true},
		"grant of a new key":                 {[]*recorder.Record{grant("x", "k", "h")}, true},
		"grant of an id in use":              {[]*recorder.Record{grant("1", "k", "h"), grant("x", "k", "h2")}, false},
		"withdrawal of a granted key":        {[]*recorder.Record{grant("1", "k", "h"), withdraw("x", "k")}, true},
		"withdrawal of an unknown key":       {[]*recorder.Record{withdraw("x", "k")}, false},
		"late grant of a withdrawn key":      {[]*recorder.Record{grant("1", "k", "h"), withdraw("2", "k"), grant("x", "k", "h")}, false},
		"join on the membership in force":    {[]*recorder.Record{join("x", "a", "1", 0)}, true},
		"join on an older membership":        {[]*recorder.Record{join("1", "a", "1", 0), join("x", "b", "1", 0)}, false},
		"late duplicate of an accepted join": {[]*recorder.Record{join("x", "a", "1", 0), join("2", "a", "2", 1), join("x", "a", "1", 0)}, true},
		"records of other streams":           {[]*recorder.Record{{ID: "1"}, publish("x", 0)}, true},
	} {
		v := apply(tc.records...).Verdict("x")
		quicktest.Assert(t, v, quicktest.IsNotNil, quicktest.Commentf(name))
		quicktest.Check(t, v.Accepted, quicktest.Equals, tc.accepted, quicktest.Commentf(name))
	}
	members := apply(join("x", "a", "1", 0), join("2", "a", "2", 1), join("x", "a", "1", 0)).State().Members
	quicktest.Check(t, members["a"].Incarnation, quicktest.Equals, "2")
}

// publishInput is the input of a publish operation: the version that the publish is based on. The output of the
// operation is whether the operator believes that the publish was accepted.
type publishInput struct{ base uint64 }

// versionModel models the configuration version as a counter that a publish increments by compare-and-swap.
var versionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, base := state.(uint64), input.(publishInput).base
		if output.(bool) {
			return version == base, version + 1
		}
		return version != base, version
	},
}

// racePublishes returns the history of three concurrent operators over several rounds. In each round, the publishes
// reach the log in random order, some of them twice, and some are based on an older version.
func racePublishes(seed uint64, believedAccepted func(f *configurator.Fold, id string) bool) []porcupine.Operation {
	r := rand.New(rand.NewPCG(seed, 1))
	f := &configurator.Fold{}
	var operations []porcupine.Operation
	offset := identifier.Offset(0)
	clock := int64(0)
	for round := range 12 {
		type pending struct {
			id   string
			base uint64
			call int64
		}
		var race []pending
		for client := range 3 {
			clock++
			base := f.State().Version
			if r.IntN(4) == 0 && base > 0 {
				base--
			}
			race = append(race, pending{fmt.Sprint(round, "/", client), base, clock})
		}
		for _, i := range r.Perm(len(race)) {
			for range 1 + r.IntN(2) {
				f.Apply(offset, publish(race[i].id, race[i].base))
				offset++
			}
		}
		for client, p := range race {
			clock++
			operations = append(operations, porcupine.Operation{
				ClientId: client, Input: publishInput{p.base}, Call: p.call, Output: believedAccepted(f, p.id), Return: clock,
			})
		}
	}
	return operations
}

func TestPublishesAreLinearizable(t *testing.T) {
	fromFold := func(f *configurator.Fold, id string) bool { return f.Verdict(id).Accepted }
	for seed := range uint64(50) {
		ok := porcupine.CheckOperationsTimeout(versionModel, racePublishes(seed, fromFold), 10*time.Second)
		quicktest.Check(t, ok, quicktest.Equals, porcupine.Ok, quicktest.Commentf("seed %d", seed))
	}
	assumeSuccess := func(*configurator.Fold, string) bool { return true }
	ok := porcupine.CheckOperationsTimeout(versionModel, racePublishes(1, assumeSuccess), 10*time.Second)
	quicktest.Check(t, ok, quicktest.Equals, porcupine.Illegal, quicktest.Commentf("operators that assume success"))
}

func FuzzApply(f *testing.F) {
	data, _ := proto.Marshal(join("x", "a", "1", 0))
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &recorder.Record{}
		if proto.Unmarshal(data, r) != nil {
			return
		}
		fold := apply(r, r)
		state, err := fold.Snapshot()
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, new(configurator.Fold).Restore(state), quicktest.IsNil)
	})
}
