package inspector

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Errors of responses.
var (
	// ErrStatus is returned for a status that is not three digits from 100 to 599, and for 101, for which no request asks.
	ErrStatus = errors.New("invalid status in a response")
)

const (
	statusDigits  = 3
	highestStatus = 599
)

// CheckHead returns an error if the head of a response is not in order.
func CheckHead(res *http.Response) error {
	code, _, _ := strings.Cut(res.Status, " ")
	// net/http also reads numbers with a sign.
	if len(code) != statusDigits || strings.Trim(code, "0123456789") != "" || res.StatusCode < http.StatusContinue || res.StatusCode > highestStatus ||
		res.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %.40q", ErrStatus, res.Status)
	}
	return nil
}
