package inspector

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// Errors of responses that are refused.
var (
	// ErrStatus is returned for a status that is not three digits from 100 to 599, and for 101, for which no request asks.
	ErrStatus = errors.New("invalid status in a response")
	// ErrFieldName is returned for a name of a field that is no token. What frames the body may stand under such a name.
	ErrFieldName = errors.New("invalid field name in a response")
	// ErrNotHTTP is returned for bytes that are no response.
	ErrNotHTTP = errors.New("no HTTP response")
	// ErrOtherRequest is returned for a response to another request.
	ErrOtherRequest = errors.New("response to another request")
	// ErrBrokenOff is returned if the connection broke after the first byte of a response.
	ErrBrokenOff = errors.New("response broke off")
	// ErrUnsealed is returned for a success without the mark that all of them have.
	ErrUnsealed = errors.New("successful response without a seal")
	// ErrEmpty is returned for a response of which nothing shows that it is whole.
	ErrEmpty = errors.New("response without content")
	// ErrContent is returned for a body that is not in the form of its kind.
	ErrContent = errors.New("invalid content of a response")
)

// Reason is why a response was refused, as metrics and logs name it.
type Reason string

var reasons = []struct {
	err    error
	reason Reason
}{
	{ErrStatus, "Status"}, {ErrFieldName, "FieldName"}, {reserver.ErrTooLong, "TooLong"}, {reserver.ErrFull, "MemoryFull"},
	{ErrOtherRequest, "OtherRequest"}, {ErrUnsealed, "Unsealed"}, {ErrEmpty, "Empty"}, {ErrContent, "Content"}, {ErrNotHTTP, "NotHTTP"},
	{ErrBrokenOff, "BrokenOff"},
}

// ReasonOf returns why a response was refused, or the empty string if an error does not say that one was.
func ReasonOf(err error) Reason {
	for _, r := range reasons {
		if errors.Is(err, r.err) {
			return r.reason
		}
	}
	return ""
}

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
