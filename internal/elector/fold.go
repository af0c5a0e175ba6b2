package elector

import (
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Figures are the numbers of requests of each team in a closed usage window.
type Figures map[identifier.TeamID]uint64

// maximumClosedWindows is the number of closed windows that a fold holds: some minutes of the shortest windows in use.
const maximumClosedWindows = 64

// Fold is the state of the duties log up to an offset; the zero value is that of an empty log.
type Fold struct {
	Next   identifier.Offset
	Holder string
	Fence  identifier.Fence
	// Closed holds the newest closed windows.
	Closed map[int64]Figures
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
		f.Holder, f.Fence = body.Claim.Holder, identifier.Fence(offset)+1
	case *Duty_Close:
		if identifier.Fence(body.Close.Fence) == f.Fence {
			f.close(body.Close)
		}
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
	if len(f.Closed) > maximumClosedWindows {
		oldest := c.Window
		for w := range f.Closed {
			oldest = min(oldest, w)
		}
		delete(f.Closed, oldest)
	}
}
