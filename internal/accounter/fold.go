package accounter

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// keptReportedWindows is the number of latest closed windows that are kept after they were reported.
	keptReportedWindows = 64
)

// Fold is the state of the Usage stream; the zero value is the state before the first record.
//
// A delta carries the totals of its origin since the origin's start. Only what exceeds the totals already counted for
// that origin is added, so duplicates, late records and copies appended by a peer add nothing. A close record fixes the
// totals of the open window at its offset, so that they are the same at every reader.
type Fold struct {
	state recorder.UsageState
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() identifier.Offset { return identifier.Offset(f.state.Next) }

// Snapshot returns the encoded state.
func (f *Fold) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&f.state)
}

// Restore replaces the state with an encoded one.
func (f *Fold) Restore(state []byte) error {
	proto.Reset(&f.state)
	return proto.Unmarshal(state, &f.state)
}

// Counted returns a copy of the usage counted for an origin, by team.
func (f *Fold) Counted(origin string) map[string]*recorder.TeamUsage {
	counted := map[string]*recorder.TeamUsage{}
	for team, u := range f.state.Counted[origin].GetTeams() {
		counted[team] = proto.Clone(u).(*recorder.TeamUsage)
	}
	return counted
}

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
		f.markReported(b.WindowReported.Window)
	}
}

// add counts the usage by which a delta exceeds what was already counted for its origin.
func (f *Fold) add(d *recorder.UsageDelta) {
	if d.Origin == "" {
		return
	}
	if f.state.Counted == nil {
		f.state.Counted = map[string]*recorder.OriginUsage{}
	}
	if f.state.Totals == nil {
		f.state.Totals = map[string]*recorder.TeamUsage{}
	}
	origin := f.state.Counted[d.Origin]
	if origin == nil {
		origin = &recorder.OriginUsage{Teams: map[string]*recorder.TeamUsage{}}
		f.state.Counted[d.Origin] = origin
	}
	for _, u := range d.Teams {
		excess := Excess(u, origin.Teams[u.Team])
		if excess != nil {
			Add(origin.Teams, excess)
			Add(f.state.Totals, excess)
		}
	}
}

// close closes the open window; a close record for any other window has no effect.
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

// markReported marks a closed window as reported, and drops the reported windows before the keptReportedWindows latest.
func (f *Fold) markReported(window uint64) {
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

// Excess returns by how much u exceeds the usage already counted, or nil if no count is higher.
func Excess(u, counted *recorder.TeamUsage) *recorder.TeamUsage {
	excess := &recorder.TeamUsage{
		Team:         u.Team,
		Requests:     max(0, u.Requests-counted.GetRequests()),
		Refused:      max(0, u.Refused-counted.GetRefused()),
		Cut:          max(0, u.Cut-counted.GetCut()),
		PromptTokens: max(0, u.PromptTokens-counted.GetPromptTokens()),
		OutputTokens: max(0, u.OutputTokens-counted.GetOutputTokens()),
	}
	if excess.Requests == 0 && excess.Refused == 0 && excess.Cut == 0 && excess.PromptTokens == 0 && excess.OutputTokens == 0 {
		return nil
	}
	return excess
}

func sortedUsage(totals map[string]*recorder.TeamUsage) []*recorder.TeamUsage {
	list := make([]*recorder.TeamUsage, 0, len(totals))
	for _, u := range totals {
		list = append(list, proto.Clone(u).(*recorder.TeamUsage))
	}
	slices.SortFunc(list, func(a, b *recorder.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
