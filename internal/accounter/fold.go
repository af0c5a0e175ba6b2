package accounter

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	keptReportedWindows = 64
)

// Fold is the state of the Usage stream; the zero value is the state before the first record.
//
// A delta counts only if it is the next of its origin, so a repeated append adds nothing. A close
// record fixes the open window's figures at its offset, the same at every reader.
type Fold struct {
	state recorder.UsageState
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() identifier.Offset { return identifier.Offset(f.state.Next) }

// Snapshot returns the encoded state.
func (f *Fold) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&f.state)
}

// Restore replaces the state by an encoded one.
func (f *Fold) Restore(state []byte) error {
	proto.Reset(&f.state)
	return proto.Unmarshal(state, &f.state)
}

// Last returns the last delta that counted for an origin, or nil.
func (f *Fold) Last(origin string) *recorder.UsageDelta { return f.state.Last[origin] }

// Window returns the number of the open window.
func (f *Fold) Window() uint64 { return f.state.Window }

// Totals returns the usage of each team in the open window, sorted by team.
func (f *Fold) Totals() []*recorder.TeamUsage { return sortedUsage(f.state.Totals) }

// Unreported returns copies of the closed windows that are not yet reported, oldest first.
func (f *Fold) Unreported() []*recorder.Window {
	var list []*recorder.Window
	for _, w := range f.state.Closed {
		if !w.Reported {
			list = append(list, proto.Clone(w).(*recorder.Window))
		}
	}
	slices.SortFunc(list, func(a, b *recorder.Window) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// Closed returns a copy of a closed window, or nil.
func (f *Fold) Closed(number uint64) *recorder.Window {
	w := f.state.Closed[number]
	if w == nil {
		return nil
	}
	return proto.Clone(w).(*recorder.Window)
}

// Apply folds in the record at offset; records of other streams' types have no effect.
func (f *Fold) Apply(offset identifier.Offset, r *recorder.Record) {
	f.state.Next = uint64(offset) + 1
	switch b := r.Body.(type) {
	case *recorder.Record_UsageDelta:
		f.add(b.UsageDelta)
	case *recorder.Record_WindowClose:
		f.close(b.WindowClose.Window)
	case *recorder.Record_WindowReported:
		f.reported(b.WindowReported.Window)
	}
}

func (f *Fold) add(d *recorder.UsageDelta) {
	if d.Origin == "" || d.Sequence != f.state.Last[d.Origin].GetSequence()+1 {
		return
	}
	if f.state.Last == nil {
		f.state.Last = map[string]*recorder.UsageDelta{}
	}
	if f.state.Totals == nil {
		f.state.Totals = map[string]*recorder.TeamUsage{}
	}
	f.state.Last[d.Origin] = d
	for _, u := range d.Teams {
		Add(f.state.Totals, u)
	}
}

func (f *Fold) close(window uint64) {
	if window != f.state.Window {
		return
	}
	if f.state.Closed == nil {
		f.state.Closed = map[uint64]*recorder.Window{}
	}
	f.state.Closed[window] = &recorder.Window{Number: window, Teams: f.Totals()}
	f.state.Totals = map[string]*recorder.TeamUsage{}
	f.state.Window++
}

func (f *Fold) reported(window uint64) {
	w := f.state.Closed[window]
	if w == nil {
		return
	}
	w.Reported = true
	for number, old := range f.state.Closed {
		if old.Reported && number+keptReportedWindows < f.state.Window {
			delete(f.state.Closed, number)
		}
	}
}

// Add adds a team's usage to the totals.
func Add(totals map[string]*recorder.TeamUsage, u *recorder.TeamUsage) {
	t := totals[u.Team]
	if t == nil {
		t = &recorder.TeamUsage{Team: u.Team}
		totals[u.Team] = t
	}
	t.Requests += u.Requests
	t.Refused += u.Refused
	t.Cut += u.Cut
	t.PromptTokens += u.PromptTokens
	t.OutputTokens += u.OutputTokens
}

func sortedUsage(totals map[string]*recorder.TeamUsage) []*recorder.TeamUsage {
	list := make([]*recorder.TeamUsage, 0, len(totals))
	for _, u := range totals {
		list = append(list, proto.Clone(u).(*recorder.TeamUsage))
	}
	slices.SortFunc(list, func(a, b *recorder.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
