package relayer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/answerer"
)

// readBody reads the request body within the size and time limits.
func (s *Relayer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *answerer.Refusal) {
	if r.ContentLength > s.Limits.BodyBytes {
		return nil, tooLarge()
	}
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.BodyBytes))
	if err == nil {
		controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	refusal := &answerer.Refusal{Status: http.StatusBadRequest, Code: answerer.CodeMalformed, Run: answerer.NotRun, Message: "the body was cut short"}
	var sizeErr *http.MaxBytesError
	switch {
	case errors.As(err, &sizeErr):
		return nil, tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal.Status, refusal.Code = http.StatusRequestTimeout, answerer.CodeTooSlow
		refusal.Message = "the body took longer than BodyMilliseconds allows"
	}
	return nil, refusal
}

// tooLarge returns the refusal of a body over the size limit.
func tooLarge() *answerer.Refusal {
	return &answerer.Refusal{
		Status: http.StatusRequestEntityTooLarge, Code: answerer.CodeTooLarge, Run: answerer.NotRun,
		Message: "the body is larger than BodyBytes allows",
	}
}
