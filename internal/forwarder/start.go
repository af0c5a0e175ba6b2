package forwarder

import (
	"context"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

const (
	// maximumStartWait limits the wait of a request for an instance that has just started, and startWaitShare its share of the
	// time that the client waits.
	maximumStartWait = time.Second
	startWaitShare   = 3
	// startCheckPause is the pause between checks whether it is ready.
	startCheckPause = 10 * time.Millisecond
)

// awaitStart lets a request wait while this instance reads its first configuration and list of targets. After a restart of all
// instances, clients would otherwise be refused everywhere.
func (rs *requestState) awaitStart(ctx context.Context) {
	if rs.f.Starting == nil {
		return
	}
	wait := maximumStartWait
	if rs.call.Deadline > 0 {
		wait = min(wait, rs.call.Deadline/startWaitShare)
	}
	for time.Since(rs.start) < wait && rs.f.Starting() {
		if sleeper.Sleep(ctx, startCheckPause) != nil {
			return
		}
	}
}
