package parser_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
)

const entry = `[Instance]
ID = front-1
AvailabilityZone = z
Listen = 10.0.0.1:80
ReadyListen = 10.0.0.1:81
DirectoryListen = 10.0.0.1:82
MetricsListen = 10.0.0.1:9464
PeerListen = 10.0.0.1:7780
Seeds = 10.0.0.1:8367,10.0.0.2:8367
FirstStart = true
Contracts = quota, pressure ,
[Store]
Address = 10.0.0.9:90
[Cloud]
Address =
[Routing]
Policy = LeastLoad
[Bounds]
LeaseMilliseconds = 3000
UsageWindowSeconds =
QuotaWindowSeconds =
QuotaOvershoot = 0.1
QuotaSlack = 190000
CPUShare = 0.4
CPUs = 2
`

func TestEntrySettings(t *testing.T) {
	s, err := parser.ParseEntrySettings("entry.ini", []byte(entry))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, s.Seeds, quicktest.DeepEquals, []string{"10.0.0.1:7780", "10.0.0.2:7780"})
	without, err := parser.ParseEntrySettings("entry.ini", []byte(strings.Replace(entry, "FirstStart = true\n", "", 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, without, quicktest.DeepEquals, s, quicktest.Commentf("a key of earlier builds is read and has no effect"))
	quicktest.Check(t, s.Contracts, quicktest.DeepEquals, []string{"quota", "pressure"})
	quicktest.Check(t, s.Routing, quicktest.Equals, parser.EntryRouting{Policy: chooser.LeastLoad})
	quicktest.Check(t, s.Cloud, quicktest.Equals, "")
	quicktest.Check(t, s.Bounds.Lease, quicktest.Equals, 3*time.Second)
	quicktest.Check(t, s.Bounds.UsageWindow, quicktest.Equals, 5*time.Second, quicktest.Commentf("an empty value gives the default"))
	quicktest.Check(t, s.Bounds.Cores, quicktest.Equals, 0.8)
	quicktest.Check(t, s.Bounds.QuotaWindow, quicktest.Equals, 8*time.Second)
	quicktest.Check(t, s.Bounds.QuotaOvershoot, quicktest.Equals, 0.1)
	quicktest.Check(t, s.Bounds.QuotaSlack, quicktest.Equals, 190_000.0)

	// One run reports all faults.
	bad := strings.NewReplacer("ID = front-1\n", "", "10.0.0.1:81", "here", "3000", "soon", "10.0.0.2:8367", "seed", "Overshoot = 0.1", "Overshoot = -0.1", "LeastLoad", "Best\nStages = Some").Replace(entry) + "Colour = red\n"
	_, err = parser.ParseEntrySettings("entry.ini", []byte(bad))
	var faults parser.Faults
	quicktest.Assert(t, errors.As(err, &faults), quicktest.IsTrue)
	quicktest.Check(t, faults, quicktest.HasLen, 8, quicktest.Commentf("%v", err))
}

// TestFencingIsCheckedOnlyWhereTheSettingsSaySo guards against holders of a duty that rely on a platform's check of fencing numbers which it has
// not promised.
func TestFencingIsCheckedOnlyWhereTheSettingsSaySo(t *testing.T) {
	for line, checked := range map[string]bool{"": false, "FencingChecked =": false, "FencingChecked = true": true, "FencingChecked = false": false} {
		s, err := parser.ParseEntrySettings("entry.ini", []byte(entry+line+"\n"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, s.Bounds.FencingChecked, quicktest.Equals, checked, quicktest.Commentf("%q", line))
	}
}
