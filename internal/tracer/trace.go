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

// beliefTime is how long before a request what was believed of its targets is shown: entries of targets that are gone
// lapse within some seconds.
const beliefTime = 10 * time.Second

// Trace is the way of one request.
type Trace struct {
	Request string
	// RequestLines are the lines that name the request.
	RequestLines []Line
	// StateLines are the lines that tell what the instance believed of the request's targets, of the configuration and of the
	// store, each the last one before the request and all during it.
	StateLines []Line
}

// beliefs are the messages that change what an instance believes, with the field that names the matter.
var beliefs = map[string]string{
	"target": "Target", "target gone": "Target", "target entry not usable": "Target", "stage ordered": "Target",
	"configuration in force": "", "store lost": "Stream", "store regained": "Stream", "entry instance starts": "", "leaving": "",
	"peer": "Peer",
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
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, request)
	}
	start, end := t.span()
	// Where there was no target, what became of all of them is the cause.
	all := t.RequestLines[len(t.RequestLines)-1].Text("Reason") == "NoTarget"
	last := map[string]Line{}
	for _, l := range lines {
		matter, ok := beliefs[l.Message]
		about := l.Text(matter)
		if !ok || !instances[l.Instance] || matter == "Target" && !all && !targets[about] || l.Time.After(end) || matter == "Peer" && l.Time.Before(start) {
			continue
		}
		if l.Time.Before(start) {
			// Gone and there, lost and regained are one matter each.
			last[strings.Fields(l.Message)[0]+about] = l
			continue
		}
		t.StateLines = append(t.StateLines, l)
	}
	for _, l := range last {
		if l.Message == "configuration in force" || l.Message == "store lost" || start.Sub(l.Time) <= beliefTime {
			t.StateLines = append(t.StateLines, l)
		}
	}
	Sort(t.StateLines)
	return t, nil
}

// span is the time from the request's arrival to its last line.
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

// causes say in a sentence what a reason of a refusal means.
var causes = map[string]string{
	"NoConfiguration":     "this instance had no configuration yet; it did not run",
	"UnknownRoute":        "the configuration in force has no such route",
	"UnknownRouteYet":     "the route is in no configuration known here, and the copy was too old to refuse for good; it did not run",
	"UnknownKey":          "the configuration in force has no such key",
	"UnknownKeyYet":       "the key is in no configuration known here, and the copy was too old to refuse for good; it did not run",
	"NoTarget":            "no target took new work; it did not run",
	"TargetsFull":         "the targets refused it; it did not run",
	"AnswerTargetFull":    "the targets for answers refused it; it did not run",
	"PromptTargetsFailed": "no target read its prompt",
	"RetryBudgetSpent":    "one more send would have exceeded the retry budget that all instances share",
	"TargetFailed":        "the connection to a target broke after it had been sent; it may have run",
	"StreamBroken":        "its stream broke off at a target; it may have run",
	"AnswerBroken":        "its answer broke off at a target; it may have run",
	"Interrupted":         "it was interrupted; it may have run",
	"Timeout":             "its deadline or its route's timeout passed; it may have run",
	"PromptTimeout":       "its deadline or its route's timeout passed before its prompt was read",
}

// Cause says in a sentence how the request ended and why.
func (t *Trace) Cause() string {
	end := &t.RequestLines[len(t.RequestLines)-1]
	switch end.Message {
	case "request served":
		if status := end.Text("Status"); status != "" && status != "200" {
			return "answered " + status + " by target " + end.Text("AnswerTarget") + " itself"
		}
		return "served after " + seconds(end.Fields["After"])
	case "client left":
		return "its client left after " + seconds(end.Fields["After"])
	case "request refused":
		reason := end.Text("Reason")
		return "answered " + end.Text("Status") + " after " + seconds(end.Fields["After"]) + ": " + cmp.Or(causes[reason], reason)
	}
	return "its end is not in the logs"
}

func seconds(v any) string {
	f, ok := v.(float64)
	if !ok {
		return "?"
	}
	return time.Duration(f * float64(time.Second)).Round(100 * time.Microsecond).String()
}

// Write prints the trace: its cause, its lines and what was believed, with times from the request's arrival.
func (t *Trace) Write(w io.Writer) error {
	start, _ := t.span()
	if _, err := fmt.Fprintf(w, "request %s at %s: %s\n", t.Request, t.RequestLines[0].Instance, t.Cause()); err != nil {
		return err
	}
	for _, part := range []struct {
		title string
		lines []Line
	}{{"decisions", t.RequestLines}, {"beliefs", t.StateLines}} {
		if _, err := fmt.Fprintf(w, "%s:\n", part.title); err != nil {
			return err
		}
		for _, l := range part.lines {
			if _, err := fmt.Fprintf(w, "  %+9.4fs %s %s%s\n", l.Time.Sub(start).Seconds(), l.Instance, l.Message, t.fields(&l)); err != nil {
				return err
			}
		}
	}
	return nil
}

// fields prints the fields of a line that say something.
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
