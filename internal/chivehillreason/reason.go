// Package chivehillreason lists the outcomes of a request and the reasons of
// refusals and retries.
package chivehillreason

import "net/http"

// Outcome tells a caller whether its request ran.
type Outcome string

// The outcomes.
const (
	// Done means that the request ran; the answer comes with it where it is kept.
	Done Outcome = "done"
	// NotRun means that the request did not run and will not run. It may be sent anew.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason names why a request was refused or why it was tried again.
type Reason string

// Reasons of refusals.
const (
	NoRoute             Reason = "no-route"
	BadDeadline         Reason = "bad-deadline"
	BodyTooLarge        Reason = "body-too-large"
	BodyUnreadable      Reason = "body-unreadable"
	KeyMissing          Reason = "key-missing"
	KeyMalformed        Reason = "key-malformed"
	KeyMismatch         Reason = "key-mismatch"
	KeyTableFull        Reason = "key-table-full"
	KeyWindowClosed     Reason = "key-window-closed"
	KeyOwnerGone        Reason = "key-owner-gone"
	KeyOwnerUnreachable Reason = "key-owner-unreachable"
	KeyNeverUsed        Reason = "key-never-used"
	AnswerNotKept       Reason = "answer-not-kept"
	RegionForbidden     Reason = "region-forbidden"
	ConfigMissing       Reason = "config-missing"
	ConfigUnconfirmed   Reason = "config-unconfirmed"
	Stopping            Reason = "stopping"
	Suspect             Reason = "suspect"
	DeadlinePassed      Reason = "deadline-passed"
	Overload            Reason = "overload"
	NoServer            Reason = "no-server"
	NoIdleSlot          Reason = "no-idle-slot"
	SlotExpired         Reason = "slot-expired"
	ServerRefused       Reason = "server-refused"
	ServerUnreachable   Reason = "server-unreachable"
	ServerBroke         Reason = "server-broke"
	ServerSilent        Reason = "server-silent"
	ServerMoved         Reason = "server-moved"
	ServerSpoiled       Reason = "server-spoiled"
	ServerFailed        Reason = "server-failed"
	AnswerTooLarge      Reason = "answer-too-large"
	CallerGone          Reason = "caller-gone"
	Internal            Reason = "internal"
)

// Refusals lists all reasons with which a request can be refused.
var Refusals = []Reason{
	NoRoute, BadDeadline, BodyTooLarge, BodyUnreadable, KeyMissing, KeyMalformed, KeyMismatch, KeyTableFull,
	KeyWindowClosed, KeyOwnerGone, KeyOwnerUnreachable, KeyNeverUsed, AnswerNotKept, RegionForbidden, ConfigMissing,
	ConfigUnconfirmed, Stopping, Suspect, DeadlinePassed, Overload, NoServer, NoIdleSlot, SlotExpired,
	ServerRefused, ServerUnreachable, ServerBroke, ServerSilent, ServerMoved, ServerSpoiled, ServerFailed, AnswerTooLarge, CallerGone, Internal,
}

// Retries lists the reasons for which a request is tried again.
var Retries = []Reason{ServerRefused, ServerUnreachable, ServerBroke, ServerMoved, ServerSpoiled, ServerFailed, SlotExpired, NoServer}

// Status returns the HTTP status of a refusal.
func Status(o Outcome, r Reason) int {
	switch r {
	case NoRoute:
		return http.StatusNotFound
	case BadDeadline, KeyMissing, KeyMalformed, BodyUnreadable:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case KeyMismatch, AnswerNotKept:
		return http.StatusConflict
	case RegionForbidden:
		return http.StatusMisdirectedRequest
	}
	if o == NotRun {
		return http.StatusServiceUnavailable
	}
	if r == ServerSilent || r == DeadlinePassed {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// Refusal is an answer without a result from a server.
type Refusal struct {
	// Outcome is true: NotRun is set only if no byte of the request can have
	// been taken up by a server, or the server itself refused before it started.
	Outcome Outcome
	Reason  Reason
}

// Error implements error.
func (r Refusal) Error() string {
	return string(r.Reason) + ": " + string(r.Outcome)
}
