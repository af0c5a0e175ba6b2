package relayer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
)

// readBody reads the request body within the size and time limits.
func (s *Relayer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refuser.Refusal) {
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
	refusal := &refuser.Refusal{Status: http.StatusBadRequest, Code: refuser.CodeMalformed, Run: refuser.NotRun, Message: "the body was cut short"}
	var sizeErr *http.MaxBytesError
	switch {
	case errors.As(err, &sizeErr):
		return nil, tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal.Status, refusal.Code = http.StatusRequestTimeout, refuser.CodeTooSlow
		refusal.Message = "the body took longer than BodyMilliseconds allows"
	}
	return nil, refusal
}

// tooLarge returns the refusal of a body over the size limit.
func tooLarge() *refuser.Refusal {
	return &refuser.Refusal{
		Status: http.StatusRequestEntityTooLarge, Code: refuser.CodeTooLarge, Run: refuser.NotRun,
		Message: "the body is larger than BodyBytes allows",
	}
}
