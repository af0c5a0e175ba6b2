package refuser

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Run says whether a request that failed was executed.
type Run string

// NotRun is used only if no part of the request reached a target. In all other cases the value is Unknown.
const (
	NotRun  Run = "NotRun"
	Unknown Run = "Unknown"
)

// RunHeader is the response header that carries the Run value of an error.
const RunHeader = "X-Request-Run"

// Code is the stable name of an error, for programs.
type Code string

// Codes of the errors that callers and operators receive.
const (
	CodeMalformed            Code = "Malformed"
	CodeTooLarge             Code = "TooLarge"
	CodeTooSlow              Code = "TooSlow"
	CodeUnauthorized         Code = "Unauthorized"
	CodeForbidden            Code = "Forbidden"
	CodeUnknownModel         Code = "UnknownModel"
	CodeUnknownRoute         Code = "UnknownRoute"
	CodeNotServing           Code = "NotServing"
	CodeOverloaded           Code = "Overloaded"
	CodeOverShare            Code = "OverShare"
	CodeNoTarget             Code = "NoTarget"
	CodeTargetFailed         Code = "TargetFailed"
	CodeInProgress           Code = "InProgress"
	CodeOutcomeUnknown       Code = "OutcomeUnknown"
	CodeIdempotencyKeyReused Code = "IdempotencyKeyReused"
	CodeJournalUnavailable   Code = "JournalUnavailable"
	CodeConflict             Code = "Conflict"
	CodeInvalid              Code = "Invalid"
	CodeNotConfirmed         Code = "NotConfirmed"
	CodeTimeout              Code = "Timeout"
	CodeUnknownRequest       Code = "UnknownRequest"
)

// Refusal is the final error response to a request.
type Refusal struct {
	Status     int
	Code       Code
	Message    string
	Run        Run
	RetryAfter time.Duration
}

// Body is the JSON body of a refusal.
type Body struct {
	Error Error `json:"error"`
}

// Error is the error object of a response body.
type Error struct {
	Message            string `json:"message"`
	Type               string `json:"type"`
	Code               Code   `json:"code"`
	Run                Run
	ReturnMilliseconds int64 `json:",omitempty"`
}

// Error returns the code, message and Run value on one line.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Run) }

// Write sends the refusal as the whole response.
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

// Event returns the refusal as the data of a server-sent event, for responses whose headers were already sent.
func (r *Refusal) Event() []byte {
	data, _ := json.Marshal(r.body())
	return data
}

func (r *Refusal) body() Body {
	errorType := "server_error"
	if r.Status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return Body{Error: Error{
		Message:            r.Message,
		Type:               errorType,
		Code:               r.Code,
		Run:                r.Run,
		ReturnMilliseconds: r.RetryAfter.Milliseconds(),
	}}
}
