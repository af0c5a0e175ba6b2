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
	// ErrFieldName is returned for a name of a field that is no token. What frames the body may stand under such a name.
	ErrFieldName = errors.New("invalid field name in a response")
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
	return CheckFields(res.Header)
}

// CheckFields returns an error if a name is not in order in a head or in the trailer of a response.
func CheckFields(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return fmt.Errorf("%w: %.40q", ErrFieldName, name)
		}
	}
	return nil
}

// isToken reports whether s is a token of RFC 9110.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0 {
			continue
		}
		return false
	}
	return s != ""
}
