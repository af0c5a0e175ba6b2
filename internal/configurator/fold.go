package configurator

import (
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrConflict is returned for a change that does not fit the state in force, such as one based on an older version.
var ErrConflict = errors.New("conflict")

// maximumVerdicts is the number of latest verdicts that are kept.
const maximumVerdicts = 512

// Fold is the state folded from the Config stream. The zero value is the state before the first record.
type Fold struct {
	state recorder.ConfigState
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() identifier.Offset { return identifier.Offset(f.state.Next) }

// Snapshot returns the encoded state.
func (f *Fold) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&f.state)
}

// Restore replaces the state with a snapshot.
func (f *Fold) Restore(state []byte) error {
	proto.Reset(&f.state)
	return proto.Unmarshal(state, &f.state)
}

// State returns a copy of the state.
func (f *Fold) State() *recorder.ConfigState {
	return proto.Clone(&f.state).(*recorder.ConfigState)
}

// Verdict returns whether a record was accepted, and if not, why. It returns nil for records that were not applied,
// for Leave records, which get no verdict, and for records whose verdict is no longer kept.
func (f *Fold) Verdict(recordID string) *recorder.Verdict {
	for _, v := range f.state.Verdicts {
		if v.RecordID == recordID {
			return v
		}
	}
	return nil
}

// Apply folds the record at offset into the state. Duplicates of records that have a verdict already, and records of
// other streams' types, only advance Next.
func (f *Fold) Apply(offset identifier.Offset, r *recorder.Record) {
	f.state.Next = uint64(offset) + 1
	if f.Verdict(r.ID) != nil {
		return
	}
	var err error
	switch b := r.Body.(type) {
	case *recorder.Record_Publish:
		err = f.applyPublish(b.Publish)
	case *recorder.Record_KeyGrant:
		err = f.applyGrant(b.KeyGrant.GetKey())
	case *recorder.Record_KeyWithdraw:
		err = f.applyWithdraw(b.KeyWithdraw.GetID())
	case *recorder.Record_Join:
		err = f.applyJoin(offset, b.Join)
	case *recorder.Record_Leave:
		f.applyLeave(b.Leave.GetInstance(), b.Leave.GetIncarnation())
		return
	case *recorder.Record_Evict:
		err = f.applyEvict(offset, b.Evict)
	default:
		return
	}
	f.addVerdict(offset, r.ID, err)
}

func (f *Fold) applyPublish(p *recorder.Publish) error {
	if p.BaseVersion != f.state.Version {
		return fmt.Errorf("%w: based on version %d, in force is %d", ErrConflict, p.BaseVersion, f.state.Version)
	}
	f.state.Version++
	f.state.Inventory = p.Inventory
	f.state.Rules = p.Rules
	return nil
}

func (f *Fold) applyGrant(k *recorder.Key) error {
	if k == nil || k.ID == "" || k.Hash == "" {
		return fmt.Errorf("%w: empty key", ErrConflict)
	}
	if f.state.Withdrawn[k.ID] {
		return fmt.Errorf("%w: key id %s was withdrawn", ErrConflict, k.ID)
	}
	if f.state.Keys == nil {
		f.state.Keys = map[string]*recorder.Key{}
	}
	for _, other := range f.state.Keys {
		if other.ID == k.ID || other.Hash == k.Hash {
			return fmt.Errorf("%w: key id %s is in use", ErrConflict, other.ID)
		}
	}
	f.state.Keys[k.Hash] = k
	return nil
}

func (f *Fold) applyWithdraw(id string) error {
	for hash, k := range f.state.Keys {
		if k.ID == id {
			delete(f.state.Keys, hash)
			if f.state.Withdrawn == nil {
				f.state.Withdrawn = map[string]bool{}
			}
			f.state.Withdrawn[id] = true
			return nil
		}
	}
	return fmt.Errorf("%w: no key %s", ErrConflict, id)
}

func (f *Fold) applyJoin(offset identifier.Offset, j *recorder.Join) error {
	m := j.GetMember()
	if m.GetInstance() == "" {
		return fmt.Errorf("%w: member without an id", ErrConflict)
	}
	if err := f.advanceMembership(offset, j.MembersVersion); err != nil {
		return err
	}
	if f.state.Members == nil {
		f.state.Members = map[string]*recorder.Member{}
	}
	f.state.Members[m.Instance] = m
	return nil
}

// advanceMembership increments the membership version if base is the version in force. Members change one at a time:
// a writer names a version only after a majority has acknowledged it, so majorities of successive memberships have
// an instance in common.
func (f *Fold) advanceMembership(offset identifier.Offset, base uint64) error {
	if base != f.state.MembersVersion {
		return fmt.Errorf("%w: based on membership %d, in force is %d", ErrConflict, base, f.state.MembersVersion)
	}
	f.state.MembersVersion++
	f.state.MembersOffset = uint64(offset)
	return nil
}

// applyLeave marks a member as leaving. It stays a member until it is evicted.
func (f *Fold) applyLeave(instance, incarnation string) {
	m := f.state.Members[instance]
	if m == nil || m.Incarnation != incarnation {
		return
	}
	leaving := proto.Clone(m).(*recorder.Member)
	leaving.Leaving = true
	f.state.Members[instance] = leaving
}

func (f *Fold) applyEvict(offset identifier.Offset, e *recorder.Evict) error {
	m := f.state.Members[e.GetInstance()]
	if m == nil || m.Incarnation != e.GetIncarnation() {
		return fmt.Errorf("%w: no member %s in this incarnation", ErrConflict, e.GetInstance())
	}
	if err := f.advanceMembership(offset, e.MembersVersion); err != nil {
		return err
	}
	delete(f.state.Members, e.Instance)
	return nil
}

func (f *Fold) addVerdict(offset identifier.Offset, recordID string, err error) {
	v := &recorder.Verdict{RecordID: recordID, Offset: uint64(offset), Accepted: err == nil}
	if err != nil {
		v.Reason = strings.TrimPrefix(err.Error(), ErrConflict.Error()+": ")
	}
	f.state.Verdicts = append(f.state.Verdicts, v)
	if excess := len(f.state.Verdicts) - maximumVerdicts; excess > 0 {
		f.state.Verdicts = f.state.Verdicts[excess:]
	}
}

// Membership returns the version of the membership and the offset of the record that led to it.
func (f *Fold) Membership() (version uint64, offset identifier.Offset) {
	return f.state.MembersVersion, identifier.Offset(f.state.MembersOffset)
}

// MemberCount returns the number of members.
func (f *Fold) MemberCount() int { return len(f.state.Members) }
