package answerer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Run tells whether a request that got an error was run.
type Run string

// NotRun is said only when no part of the request reached a target; Unknown in all other cases.
const (
	NotRun  Run = "NotRun"
	Unknown Run = "Unknown"
)

// RunHeader carries the Run of an error.
const RunHeader = "X-Request-Run"

// Code is a stable name of an error.
type Code string

// Codes of the errors that callers and operators can get.
const (
	CodeMalformed     Code = "Malformed"
	CodeTooLarge      Code = "TooLarge"
	CodeTooSlow       Code = "TooSlow"
	CodeUnauthorized  Code = "Unauthorized"
	CodeForbidden     Code = "Forbidden"
	CodeUnknownModel  Code = "UnknownModel"
	CodeUnknownRoute  Code = "UnknownRoute"
	CodeNotServing    Code = "NotServing"
	CodeOverloaded    Code = "Overloaded"
	CodeOverShare     Code = "OverShare"
	CodeNoTarget      Code = "NoTarget"
	CodeTargetFailed  Code = "TargetFailed"
	CodeInProgress    Code = "InProgress"
	CodeOutcomeOpen   Code = "OutcomeUnknown"
	CodeKeyReused     Code = "IdempotencyKeyReused"
	CodeJournalDown   Code = "JournalUnavailable"
	CodeConflict      Code = "Conflict"
	CodeInvalid       Code = "Invalid"
	CodeNotConfirmed  Code = "NotConfirmed"
	CodeTimeout       Code = "Timeout"
	CodeUnknownRecord Code = "UnknownRequest"
)

// Refusal is a final answer to a request that was not served.
type Refusal struct {
	Status     int
	Code       Code
	Message    string
	Run        Run
	RetryAfter time.Duration
}

// Body is the JSON form of a refusal.
type Body struct {
	Error Error `json:"error"`
}

// Error describes a refusal to programs and people.
type Error struct {
	Message            string `json:"message"`
	Type               string `json:"type"`
	Code               Code   `json:"code"`
	Run                Run
	ReturnMilliseconds int64 `json:",omitempty"`
}

// Error returns the refusal on one line.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Run) }

// Write sends the refusal as the whole answer.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(RunHeader, string(r.Run))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", fmt.Sprintf("%d", seconds))
	}
	w.WriteHeader(r.Status)
	json.NewEncoder(w).Encode(r.body())
}

// Event returns the refusal as the data of a server-sent event, for answers that have begun.
func (r *Refusal) Event() []byte {
	data, _ := json.Marshal(r.body())
	return data
}

func (r *Refusal) body() Body {
	kind := "server_error"
	if r.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return Body{Error: Error{
		Message:            r.Message,
		Type:               kind,
		Code:               r.Code,
		Run:                r.Run,
		ReturnMilliseconds: r.RetryAfter.Milliseconds(),
	}}
}
