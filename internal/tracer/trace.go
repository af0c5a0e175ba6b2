package tracer

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// ErrUnknownRequest is returned when no line names the request.
var ErrUnknownRequest = errors.New("no line names the request")

// maximumStateAge is the maximum age, at a request's arrival, of a state line that is shown. Older lines about targets do
// not matter, because the entry of a lost target expires within a few seconds. The latest configuration and an ongoing
// loss of the store are shown regardless of age.
const maximumStateAge = 10 * time.Second

// Trace holds the log lines that explain how one request was handled.
type Trace struct {
	Request string
	// RequestLines are the lines that contain the request's ID.
	RequestLines []Line
	// StateLines are the lines that show what the instance knew of the request's targets, the configuration, the store
	// and its peers: all lines during the request and, except for peers, the last one of each before it, if that is recent
	// (see maximumStateAge).
	StateLines []Line
}

// stateMessages are the messages that report a change in what an instance knows, with the field that names the subject.
var stateMessages = map[string]string{
	"target": "Target", "target gone": "Target", "target entry not usable": "Target", "stage ordered": "Target",
	"configuration in force": "", "store lost": "Stream", "store regained": "Stream", "entry instance starts": "", "leaving": "",
	"store has come back from an older copy": "", "target says that it leaves": "Target", "target leaves or is gone, says a peer": "Target",
	"target wants no requests": "Target", "prompt part denied, targets crash under it": "Part",
	"peer": "Peer", "log lines dropped": "",
}

// countDropped returns the number of lines that are missing in the logs because they were dropped.
func countDropped(lines []Line) (n int) {
	for _, l := range lines {
		if l.Message == "log lines dropped" {
			dropped, _ := l.Fields["Lines"].(float64)
			n += int(dropped)
		}
	}
	return n
}

// Find returns the trace of a request; the lines must be sorted.
func Find(lines []Line, request string) (*Trace, error) {
	t := &Trace{Request: request}
	targets := map[string]bool{}
	instances := map[string]bool{}
	for _, l := range lines {
		if l.Text("RequestID") != request {
			continue
		}
		t.RequestLines = append(t.RequestLines, l)
		instances[l.Instance] = true
		for _, name := range []string{"Target", "PromptTarget", "AnswerTarget"} {
			if id := l.Text(name); id != "" {
				targets[id] = true
			}
		}
	}
	if len(t.RequestLines) == 0 {
		if n := countDropped(lines); n > 0 {
			return nil, fmt.Errorf("%w: %s; %d lines were dropped because nobody read the log", ErrUnknownRequest, request, n)
		}
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, request)
	}
	start, end := t.span()
	// If no target was available, the state of all targets explains the refusal.
	allTargets := t.RequestLines[len(t.RequestLines)-1].Text("Reason") == "NoTarget"
	last := map[string]Line{}
	for _, l := range lines {
		field, ok := stateMessages[l.Message]
		subject := l.Text(field)
		if !ok || !instances[l.Instance] || field == "Target" && !allTargets && !targets[subject] ||
			l.Time.After(end) || field == "Peer" && l.Time.Before(start) {
			continue
		}
		if l.Time.Before(start) {
			// Messages that supersede each other, such as "target" and "target gone", share their first word.
			last[strings.Fields(l.Message)[0]+subject] = l
			continue
		}
		t.StateLines = append(t.StateLines, l)
	}
	for _, l := range last {
		if l.Message == "configuration in force" || l.Message == "store lost" || start.Sub(l.Time) <= maximumStateAge {
			t.StateLines = append(t.StateLines, l)
		}
	}
	Sort(t.StateLines)
	return t, nil
}

// span returns the times of the request's arrival and of its last line. The field After of a line is the time since the
// arrival, in seconds.
func (t *Trace) span() (start, end time.Time) {
	start, end = t.RequestLines[0].Time, t.RequestLines[len(t.RequestLines)-1].Time
	for _, l := range t.RequestLines {
		if after, ok := l.Fields["After"].(float64); ok {
			if arrived := l.Time.Add(-time.Duration(after * float64(time.Second))); arrived.Before(start) {
				start = arrived
			}
		}
	}
	return start, end
}

// causes explains each reason for a refusal.
var causes = map[string]string{
	"NoConfiguration":      "this instance had no configuration yet; it did not run",
	"UnknownRoute":         "the configuration in force has no such route",
	"UnknownRouteYet":      "the route is in no configuration known here, and the copy was too old to refuse for good; it did not run",
	"UnknownKey":           "the configuration in force has no such key",
	"UnknownKeyYet":        "the key is in no configuration known here, and the copy was too old to refuse for good; it did not run",
	"NoService":            "its route names no service, or none with a weight above zero; it did not run",
	"NoTarget":             "no target took new work; it did not run",
	"TargetsFull":          "the targets refused it; it did not run",
	"MemoryFull":           "no answer target had KV memory for it; it did not run",
	"OutOfTime":            "it could not have begun to be answered before its deadline; it did not run",
	"LessUrgent":           "under overload it gave way to more urgent requests; it did not run",
	"AnswerTargetFull":     "the targets for answers refused it; it did not run",
	"PromptTargetsFailed":  "no target prefilled its prompt",
	"PeersRefused":         "targets could not be reached and the peers that were asked refused it; it did not run",
	"PeerFailed":           "it was passed to a peer and the connection to it broke; it may have run",
	"StreamUnknown":        "no instance that answered knew at which build the stream began; it did not run",
	"BuildAbsent":          "no target of the build that began the stream was listed; it did not run",
	"StreamOfOtherService": "the route no longer leads to the service that began the stream; it did not run",
	"RetryBudgetSpent":     "one more send would have exceeded the retry budget that all instances share",
	"QuotaExceeded":        "its team was over its quota; it did not run",
	"QuotaUndecided":       "no instance that could decide about its team's quota did; it did not run",
	"RequestDenied":        "targets crash under it, so it was not sent",
	"PromptDenied":         "targets crash under a part of its prompt, so it was not sent",
	"TargetFailed":         "the connection to a target broke after it had been sent; it may have run",
	"StreamBroken":         "its stream broke off at a target; it may have run",
	"AnswerBroken":         "its answer broke off at a target; it may have run",
	"Interrupted":          "it was interrupted; it may have run",
	"Timeout":              "its deadline or its route's timeout passed; it may have run",
	"Stopping":             "the instance was about to end; with 503 it did not run, with 502 it may have run",
	"PromptTimeout":        "its deadline or its route's timeout passed before its prompt was prefilled",
}

// Cause returns a sentence that says how the request ended and why.
func (t *Trace) Cause() string {
	end := &t.RequestLines[len(t.RequestLines)-1]
	switch end.Message {
	case "request served":
		if status := end.Text("Status"); status != "" && status != "200" {
			return "answered " + status + " by target " + end.Text("AnswerTarget") + " itself"
		}
		return "served after " + formatSeconds(end.Fields["After"])
	case "client left":
		return "its client left after " + formatSeconds(end.Fields["After"])
	case "request refused":
		reason := end.Text("Reason")
		return "answered " + end.Text("Status") + " after " + formatSeconds(end.Fields["After"]) +
			": " + cmp.Or(causes[reason], reason)
	}
	return "its end is not in the logs"
}

// formatSeconds formats a number of seconds as a duration.
func formatSeconds(v any) string {
	f, ok := v.(float64)
	if !ok {
		return "?"
	}
	return time.Duration(f * float64(time.Second)).Round(100 * time.Microsecond).String()
}

// Write prints the trace: the cause, the request lines and the state lines, with times relative to the request's arrival.
func (t *Trace) Write(w io.Writer) error {
	start, _ := t.span()
	if _, err := fmt.Fprintf(w, "request %s at %s: %s\n", t.Request, t.RequestLines[0].Instance, t.Cause()); err != nil {
		return err
	}
	for _, section := range []struct {
		title string
		lines []Line
	}{{"decisions", t.RequestLines}, {"beliefs", t.StateLines}} {
		if _, err := fmt.Fprintf(w, "%s:\n", section.title); err != nil {
			return err
		}
		for _, l := range section.lines {
			if _, err := fmt.Fprintf(w, "  %+9.4fs %s %s%s\n", l.Time.Sub(start).Seconds(), l.Instance, l.Message, t.fields(&l)); err != nil {
				return err
			}
		}
	}
	return nil
}

// fields formats the fields of a line, except the request's ID and empty fields.
func (t *Trace) fields(l *Line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		value := l.Text(name)
		if name == "RequestID" || value == "" {
			continue
		}
		if strings.ContainsAny(value, " \t\n") {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}
