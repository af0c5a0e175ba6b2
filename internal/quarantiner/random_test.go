package quarantiner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TestRandomReports has instances see crashes, completions and each other's reports in any order. None ends, a request that a peer
// denies has three crashes at some instance, and one that completes is no longer denied.
func TestRandomReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gone := rapid.Bool().Draw(rt, "gone")
		nodes := []*quarantiner.Quarantine{{}, {}, {}}
		for _, q := range nodes {
			q.Gone = func(identifier.TargetID, time.Time) bool { return gone }
		}
		now := start
		crashed := map[identifier.RequestDigest]map[int]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 50, 400, 2000, 20_000, 400_000}).Draw(rt, "pause")) * time.Millisecond)
			q := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")]
			digest := identifier.RequestDigest(rapid.IntRange(0, 3).Draw(rt, "digest"))
			parts := []identifier.PartID{identifier.PartID(rapid.IntRange(1, 2).Draw(rt, "part")), identifier.PartID(rapid.IntRange(3, 5).Draw(rt, "part"))}
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1, 2:
				target := rapid.IntRange(0, 9).Draw(rt, "target")
				if crashed[digest] == nil {
					crashed[digest] = map[int]bool{}
				}
				crashed[digest][target] = true
				seenAfter := time.Duration(rapid.SampledFrom([]int{0, 0, 100, 1100, 2500}).Draw(rt, "seenAfter")) * time.Millisecond
				c := broke(digest, target, now.Add(-seenAfter), parts...)
				c.Began, c.Request = rapid.Bool().Draw(rt, "began"), identifier.PartID(digest)
				q.Crashed(c, now)
			case 3:
				q.Apply(nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "from")].Report(now), now)
			case 4:
				q.Completed(digest, parts, now)
				if isDenied(q, digest, now) || q.Denied(parts, now) > 0 {
					rt.Fatalf("request %d with parts %v has completed and is denied", digest, parts)
				}
			case 5:
				q.Expire(now)
			}
			if n := len(crashed[digest]); n < 3 && isDenied(q, digest, now) {
				rt.Fatalf("request %d is denied after %d crashes", digest, n)
			}
		}
	})
}
