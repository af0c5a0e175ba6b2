package reporter_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/accounter"
	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func usage(requests int64) *recorder.Record {
	d := &recorder.UsageDelta{Origin: "o", Teams: []*recorder.TeamUsage{{Team: "t", Requests: requests}}}
	return &recorder.Record{Body: &recorder.Record_UsageDelta{UsageDelta: d}}
}

// report sends the figures of window 0 and returns the platform's count of wrong reports.
func report(platform *imitator.Platform, teams []*recorder.TeamUsage) int {
	r := provider.Report{Fence: 1}
	for _, u := range teams {
		r.Teams = append(r.Teams, provider.TeamTotals{Team: u.Team, Requests: u.Requests})
	}
	data, _ := json.Marshal(r)
	platform.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/reports", bytes.NewReader(data)))
	return platform.Counts().WrongReports
}

// TestTwoReportersSendTheSameFigures lets two processes that have read the log up to different offsets report one window.
// Their reports differ if each sends its own totals, and agree if both send the figures of the close record.
func TestTwoReportersSendTheSameFigures(t *testing.T) {
	records := []*recorder.Record{
		usage(3), usage(5),
		{Body: &recorder.Record_WindowClose{WindowClose: &recorder.WindowClose{Window: 0}}},
		usage(9),
	}
	fold := func(n int) *accounter.Fold {
		f := &accounter.Fold{}
		for i, r := range records[:n] {
			f.Apply(identifier.Offset(i), r)
		}
		return f
	}
	open := &imitator.Platform{}
	report(open, fold(1).Totals())
	quicktest.Check(t, report(open, fold(2).Totals()), quicktest.Equals, 1, quicktest.Commentf("without a close record"))

	closed := &imitator.Platform{}
	report(closed, fold(3).Closed(0).Teams)
	quicktest.Check(t, report(closed, fold(4).Closed(0).Teams), quicktest.Equals, 0)
}
