// Package chivehillresponse tells whole responses from broken ones, wherever the project reads
// a response over HTTP.
package chivehillresponse

import (
	"errors"
	"syscall"
)

// ConnectionLost reports whether a write failed because the connection was lost, for example by
// a reset. The kernel tells of a loss only once, to the write or to the read that asks first. If
// it told the write, the read sees a clean end, so that a body that ends with its connection
// looks complete although it was cut off.
//
// A broken pipe is no loss: the peer had ended the connection before, behind the whole body.
func ConnectionLost(writeErr error) bool {
	var errno syscall.Errno
	return errors.As(writeErr, &errno) && errno != syscall.EPIPE
}
