package caller

import (
	"errors"
	"net"
)

// NotSent reports whether an error of a request means that no connection came about, so that nothing was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
