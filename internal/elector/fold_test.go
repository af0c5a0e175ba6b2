package elector_test

import (
	"testing"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func encode(t *testing.T, d *elector.Duty) []byte {
	record, err := proto.Marshal(d)
	quicktest.Assert(t, err, quicktest.IsNil)
	return record
}

// TestClosesAfterAnExpiredClaimCount guards against a second report of a usage window with other figures: an instance read on in the log
// after the claim of the present holder had expired, kept to the holder before it, and ignored the windows that the present one had closed.
func TestClosesAfterAnExpiredClaimCount(t *testing.T) {
	claim := encode(t, &elector.Duty{Body: &elector.Duty_Claim{Claim: &elector.Claim{Holder: "a"}}})
	renewal := encode(t, &elector.Duty{Body: &elector.Duty_Renewal{Renewal: &elector.Renewal{Holder: "b", Fence: 21}}})
	closing := func(fence uint64, n uint64) []byte {
		return encode(t, &elector.Duty{Body: &elector.Duty_Close{Close: &elector.Close{Fence: fence, Window: 7, Requests: map[string]uint64{"team": n}}}})
	}
	for name, tc := range map[string]struct {
		retained [][]byte
		want     elector.Figures
		holder   string
	}{
		"after a renewal":          {[][]byte{renewal, closing(21, 5)}, elector.Figures{"team": 5}, "b"},
		"before a renewal":         {[][]byte{closing(21, 5), renewal}, elector.Figures{"team": 5}, "b"},
		"by a former holder":       {[][]byte{renewal, closing(1, 5)}, nil, "b"},
		"again, with others":       {[][]byte{closing(21, 5), closing(21, 6)}, elector.Figures{"team": 5}, ""},
		"by the one that was read": {[][]byte{closing(1, 5)}, elector.Figures{"team": 5}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			f := elector.Fold{}
			f.Apply(claim)
			f.Next = 40 // The records between have expired.
			for _, r := range tc.retained {
				f.Apply(r)
			}
			quicktest.Check(t, f.Closed[7], quicktest.DeepEquals, tc.want)
			quicktest.Check(t, f.Holder, quicktest.Equals, tc.holder)
			quicktest.Check(t, f.Next, quicktest.Equals, identifier.Offset(40+len(tc.retained)))
		})
	}
}
