package chivehillresponse

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrBroken means that what was received is not a response, although net/http could read its head.
var ErrBroken = errors.New("broken response")

// Check returns an error that wraps ErrBroken if the head of a response is broken. Interim
// responses pass, except for a switch of protocols, which no request asks for.
func Check(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrBroken, r.StatusCode)
	}
	return nil
}
