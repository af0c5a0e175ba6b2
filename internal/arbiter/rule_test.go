package arbiter_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/arbiter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const bound = 2500 * time.Millisecond

var now = time.Unix(1000, 0)

func self(next identifier.Offset) arbiter.Member {
	return arbiter.Member{Self: true, Voting: true, SentAt: now, Next: next}
}

func peer(age time.Duration, next identifier.Offset) arbiter.Member {
	return arbiter.Member{Voting: true, SentAt: now.Add(-age), Next: next}
}

func TestServeUntil(t *testing.T) {
	fresh := func(age time.Duration) time.Time { return now.Add(-age) }
	for name, tc := range map[string]struct {
		v       arbiter.View
		serving bool
	}{
		"read of the log":                        {arbiter.View{Joined: true, FreshAt: fresh(time.Second)}, true},
		"read long ago":                          {arbiter.View{Joined: true, FreshAt: fresh(3 * time.Second)}, false},
		"not a member":                           {arbiter.View{FreshAt: fresh(0)}, false},
		"never fresh":                            {arbiter.View{Joined: true}, false},
		"majority not ahead":                     {arbiter.View{Joined: true, Next: 7, Members: []arbiter.Member{self(7), peer(time.Second, 7), peer(time.Minute, 7)}}, true},
		"majority, one behind":                   {arbiter.View{Joined: true, Next: 7, Members: []arbiter.Member{self(7), peer(time.Second, 6), peer(time.Minute, 7)}}, true},
		"one member ahead":                       {arbiter.View{Joined: true, Next: 7, Members: []arbiter.Member{self(7), peer(0, 7), peer(time.Second, 8)}}, false},
		"no majority":                            {arbiter.View{Joined: true, Next: 7, Members: []arbiter.Member{self(7), peer(time.Minute, 7), peer(time.Minute, 7)}}, false},
		"majority only with a non-voting member": {arbiter.View{Joined: true, Next: 7, Members: []arbiter.Member{self(7), {SentAt: now, Next: 7}, peer(time.Minute, 7)}}, false},
		"gone members do not count as replies":   {arbiter.View{Joined: true, Next: 7, Members: []arbiter.Member{self(7), {Gone: true}, {Gone: true}}}, false},
		"only member":                            {arbiter.View{Joined: true, Next: 7, Members: []arbiter.Member{self(7)}}, true},
	} {
		serving := now.Before(arbiter.ServeUntil(now, bound, tc.v))
		quicktest.Check(t, serving, quicktest.Equals, tc.serving, quicktest.Commentf(name))
	}
}

func TestInForce(t *testing.T) {
	longAgo := now.Add(-time.Hour)
	for name, tc := range map[string]struct {
		members []arbiter.Member
		removed time.Time
		after   time.Duration
		want    bool
	}{
		"all hold it":                                    {[]arbiter.Member{self(8), peer(0, 8), peer(0, 9)}, longAgo, 0, true},
		"a majority holds it":                            {[]arbiter.Member{self(8), peer(0, 8), peer(0, 7)}, longAgo, 0, false},
		"a majority has held it for the bound":           {[]arbiter.Member{self(8), peer(0, 8), peer(0, 7)}, longAgo, 3 * time.Second, true},
		"no majority, however long":                      {[]arbiter.Member{self(8), peer(0, 7), peer(0, 7)}, longAgo, time.Hour, false},
		"all hold it, but a member was just removed":     {[]arbiter.Member{self(8), peer(0, 8)}, now, 0, false},
		"a member was removed, and the bound has passed": {[]arbiter.Member{self(8), peer(0, 8)}, now.Add(2 * time.Second), 3 * time.Second, true},
		"gone members count as holding it":               {[]arbiter.Member{self(8), {Gone: true}, {Gone: true}}, longAgo, 0, true},
		"non-voting members do not count":                {[]arbiter.Member{self(8), {Next: 9}, {Next: 9}}, longAgo, time.Hour, false},
	} {
		a := arbiter.Acceptance{Offset: 7, Bound: bound, Margin: 500 * time.Millisecond}
		got := a.InForce(now, tc.removed, tc.members)
		if tc.after > 0 {
			got = a.InForce(now.Add(tc.after), tc.removed, tc.members)
		}
		quicktest.Check(t, got, quicktest.Equals, tc.want, quicktest.Commentf(name))
	}
}
