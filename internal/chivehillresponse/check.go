package chivehillresponse

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrBroken means that what was received is not a response, although net/http could read its head.
var ErrBroken = errors.New("broken response")

// Check returns an error that wraps ErrBroken if the head of a response is broken. Interim
// responses pass, a switch of protocols only if the request asked for it.
func Check(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols && r.Request.Header.Get("Upgrade") == "" {
		return fmt.Errorf("%w: status %03d", ErrBroken, r.StatusCode)
	}
	for name := range r.Header {
		// Of all bytes that no name may hold, net/http lets only this one pass.
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: space in the name of field %.64q", ErrBroken, name)
		}
	}
	return nil
}
