package relayer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/answerer"
)

// readBody reads a request's body within the limits on size and time.
func (s *Relayer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *answerer.Refusal) {
	if r.ContentLength > s.Limits.BodyBytes {
		return nil, tooLarge()
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.BodyBytes))
	if err == nil {
		control.SetReadDeadline(time.Time{})
		return body, nil
	}
	refusal := &answerer.Refusal{Status: http.StatusBadRequest, Code: answerer.CodeMalformed, Run: answerer.NotRun, Message: "the body was cut short"}
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return nil, tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal.Status, refusal.Code = http.StatusRequestTimeout, answerer.CodeTooSlow
		refusal.Message = "the body took longer than BodyMilliseconds allows"
	}
	return nil, refusal
}

func tooLarge() *answerer.Refusal {
	return &answerer.Refusal{
		Status: http.StatusRequestEntityTooLarge, Code: answerer.CodeTooLarge, Run: answerer.NotRun,
		Message: "the body is larger than BodyBytes allows",
	}
}
