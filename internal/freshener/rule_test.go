package freshener_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/freshener"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const bound = 2500 * time.Millisecond

var now = time.Unix(1000, 0)

func self(next identifier.Offset) freshener.Member {
	return freshener.Member{Self: true, Voting: true, SentAt: now, Next: next}
}

func peer(age time.Duration, next identifier.Offset) freshener.Member {
	return freshener.Member{Voting: true, SentAt: now.Add(-age), Next: next}
}

func TestServeUntil(t *testing.T) {
	fresh := func(age time.Duration) time.Time { return now.Add(-age) }
	for name, tc := range map[string]struct {
		v       freshener.View
		serving bool
	}{
		"read of the log":                        {freshener.View{Joined: true, FreshAt: fresh(time.Second)}, true},
		"read long ago":                          {freshener.View{Joined: true, FreshAt: fresh(3 * time.Second)}, false},
		"not a member":                           {freshener.View{FreshAt: fresh(0)}, false},
		"never fresh":                            {freshener.View{Joined: true}, false},
		"majority not ahead":                     {freshener.View{Joined: true, Next: 7, Members: []freshener.Member{self(7), peer(time.Second, 7), peer(time.Minute, 7)}}, true},
		"majority, one behind":                   {freshener.View{Joined: true, Next: 7, Members: []freshener.Member{self(7), peer(time.Second, 6), peer(time.Minute, 7)}}, true},
		"one member ahead":                       {freshener.View{Joined: true, Next: 7, Members: []freshener.Member{self(7), peer(0, 7), peer(time.Second, 8)}}, false},
		"no majority":                            {freshener.View{Joined: true, Next: 7, Members: []freshener.Member{self(7), peer(time.Minute, 7), peer(time.Minute, 7)}}, false},
		"majority only with a non-voting member": {freshener.View{Joined: true, Next: 7, Members: []freshener.Member{self(7), {SentAt: now, Next: 7}, peer(time.Minute, 7)}}, false},
		"gone members do not count as replies":   {freshener.View{Joined: true, Next: 7, Members: []freshener.Member{self(7), {Gone: true}, {Gone: true}}}, false},
		"only member":                            {freshener.View{Joined: true, Next: 7, Members: []freshener.Member{self(7)}}, true},
	} {
		serving := now.Before(freshener.ServeUntil(now, bound, tc.v))
		quicktest.Check(t, serving, quicktest.Equals, tc.serving, quicktest.Commentf(name))
	}
}

func TestInForce(t *testing.T) {
	longAgo := now.Add(-time.Hour)
	for name, tc := range map[string]struct {
		members []freshener.Member
		removed time.Time
		after   time.Duration
		want    bool
	}{
		"all hold it":                                    {[]freshener.Member{self(8), peer(0, 8), peer(0, 9)}, longAgo, 0, true},
		"a majority holds it":                            {[]freshener.Member{self(8), peer(0, 8), peer(0, 7)}, longAgo, 0, false},
		"a majority has held it for the bound":           {[]freshener.Member{self(8), peer(0, 8), peer(0, 7)}, longAgo, 3 * time.Second, true},
		"no majority, however long":                      {[]freshener.Member{self(8), peer(0, 7), peer(0, 7)}, longAgo, time.Hour, false},
		"all hold it, but a member was just removed":     {[]freshener.Member{self(8), peer(0, 8)}, now, 0, false},
		"a member was removed, and the bound has passed": {[]freshener.Member{self(8), peer(0, 8)}, now.Add(2 * time.Second), 3 * time.Second, true},
		"gone members count as holding it":               {[]freshener.Member{self(8), {Gone: true}, {Gone: true}}, longAgo, 0, true},
		"non-voting members do not count":                {[]freshener.Member{self(8), {Next: 9}, {Next: 9}}, longAgo, time.Hour, false},
	} {
		a := freshener.Acceptance{Offset: 7, Bound: bound, Margin: 500 * time.Millisecond}
		got := a.InForce(now, tc.removed, tc.members)
		if tc.after > 0 {
			got = a.InForce(now.Add(tc.after), tc.removed, tc.members)
		}
		quicktest.Check(t, got, quicktest.Equals, tc.want, quicktest.Commentf(name))
	}
}
