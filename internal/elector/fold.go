package elector

import (
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Figures are the numbers of requests of each team in a closed usage window.
type Figures map[identifier.TeamID]uint64

// maximumClosedWindows is the number of closed windows that a fold holds: some minutes of the shortest windows in use.
const maximumClosedWindows = 64

// Fold is the state of the duties log up to an offset; the zero value is that of an empty log of era 0.
type Fold struct {
	// Era is the era of the store to which the log belongs.
	Era identifier.Era
	// Next is the offset of the next record to apply.
	Next   identifier.Offset
	Holder string
	Fence  identifier.Fence
	// Closed holds the newest closed windows.
	Closed map[int64]Figures
	// completeFrom is the first window from which on the log has all closes that were made before one of its records, according to a
	// holder of this era; nil if none has told it.
	completeFrom *int64
}

// Apply applies the record at Next. A record that cannot be decoded is ignored, as is a close by a former holder.
func (f *Fold) Apply(record []byte) {
	offset := f.Next
	f.Next++
	var d Duty
	if proto.Unmarshal(record, &d) != nil {
		return
	}
	switch body := d.Body.(type) {
	case *Duty_Claim:
		// A claim that was sent in an earlier era may be appended late; its number is lower.
		fence := identifier.FenceAt(identifier.Position{Era: identifier.Era(body.Claim.Era), Offset: offset})
		if f.hold(body.Claim.Holder, fence) {
			f.complete(fence, body.Claim.CompleteFrom)
		}
	case *Duty_Renewal:
		if fence := identifier.Fence(body.Renewal.Fence); f.hold(body.Renewal.Holder, fence) {
			f.complete(fence, body.Renewal.CompleteFrom)
		}
	case *Duty_Close:
		if f.hold("", identifier.Fence(body.Close.Fence)) {
			f.close(body.Close)
		}
	}
}

// hold takes the holder that a record names, or "" if it names none, and reports whether it is not a former one. The claim of a holder may
// have expired from the log before it was read: every record with a higher fencing number stands for it.
func (f *Fold) hold(holder string, fence identifier.Fence) bool {
	if fence > f.Fence {
		f.Holder, f.Fence = "", fence
	}
	if fence == f.Fence && f.Holder == "" {
		f.Holder = holder
	}
	return fence == f.Fence
}

// complete takes what the holder with a fencing number has told. A holder of an earlier era knew nothing of the closes that were lost.
func (f *Fold) complete(fence identifier.Fence, from *int64) {
	if from != nil && fence.Era() == f.Era && (f.completeFrom == nil || *from < *f.completeFrom) {
		f.completeFrom = from
	}
}

// close adds a closed window. The first figures of a window are final; later ones are ignored.
func (f *Fold) close(c *Close) {
	if f.Closed == nil {
		f.Closed = map[int64]Figures{}
	}
	if _, closed := f.Closed[c.Window]; closed {
		return
	}
	figures := Figures{}
	for team, n := range c.Requests {
		figures[identifier.TeamID(team)] = n
	}
	f.Closed[c.Window] = figures
	dropOldest(f.Closed, c.Window)
}

// dropOldest removes the oldest window if there are too many.
func dropOldest(closed map[int64]Figures, oldest int64) {
	if len(closed) <= maximumClosedWindows {
		return
	}
	for w := range closed {
		oldest = min(oldest, w)
	}
	delete(closed, oldest)
}
