package messenger

import (
	"errors"
	"net"
)

// isDialError reports whether err is a failure to open a connection, before which
// nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
