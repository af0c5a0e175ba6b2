package caller

import (
	"errors"
	"net"
)

// NotSent reports whether a request error means that no connection was established, so that nothing was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
