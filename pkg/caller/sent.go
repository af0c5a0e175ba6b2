package caller

import (
	"errors"
	"net"
)

// notSent reports whether an error means that no connection came about.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
