package sleeper

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier with the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
