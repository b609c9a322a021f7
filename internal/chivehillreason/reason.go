// Package chivehillreason defines the outcomes of a request, the reasons of refusals
// and retries, and the HTTP status of each refusal.
package chivehillreason

import "net/http"

// Outcome states whether a request ran.
type Outcome string

// The outcomes.
const (
	// Done means that the request ran. The response carries the answer of the server
	// if that is still stored.
	Done Outcome = "done"
	// NotRun means that the request did not run and will not run. The caller may send
	// it again.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason states why a request was refused or retried.
type Reason string

// Reasons of refusals. docs/operations/refusals.md describes the cause of each.
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
	ServersQuiet        Reason = "servers-quiet"
	ServerUnreachable   Reason = "server-unreachable"
	ServerBroke         Reason = "server-broke"
	ServerSilent        Reason = "server-silent"
	ServerMoved         Reason = "server-moved"
	ServerSpoiled       Reason = "server-spoiled"
	ServerFailed        Reason = "server-failed"
	AnswerTooLarge      Reason = "answer-too-large"
	WorkspaceKeyMissing Reason = "workspace-key-missing"
	WorkspaceKeyUnknown Reason = "workspace-key-unknown"
	QuotaExceeded       Reason = "quota-exceeded"
	CallerGone          Reason = "caller-gone"
	Internal            Reason = "internal"
)

// Refusals lists all reasons for which a request can be refused.
var Refusals = []Reason{
	NoRoute, BadDeadline, BodyTooLarge, BodyUnreadable, KeyMissing, KeyMalformed, KeyMismatch, KeyTableFull,
	KeyWindowClosed, KeyOwnerGone, KeyOwnerUnreachable, KeyNeverUsed, AnswerNotKept, RegionForbidden, ConfigMissing,
	ConfigUnconfirmed, Stopping, Suspect, DeadlinePassed, Overload, NoServer, NoIdleSlot, SlotExpired,
	ServerRefused, ServersQuiet, ServerUnreachable, ServerBroke, ServerSilent, ServerMoved, ServerSpoiled, ServerFailed, AnswerTooLarge,
	WorkspaceKeyMissing, WorkspaceKeyUnknown, QuotaExceeded, CallerGone, Internal,
}

// Retries lists the reasons for which a request is retried.
var Retries = []Reason{ServerRefused, ServerUnreachable, ServerBroke, ServerMoved, ServerSpoiled, ServerFailed, SlotExpired, NoServer}

// Status returns the HTTP status of a refusal.
func Status(o Outcome, r Reason) int {
	switch r {
	case NoRoute:
		return http.StatusNotFound
	case BadDeadline, KeyMissing, KeyMalformed, BodyUnreadable:
		return http.StatusBadRequest
	case WorkspaceKeyMissing, WorkspaceKeyUnknown:
		return http.StatusUnauthorized
	case QuotaExceeded:
		return http.StatusTooManyRequests
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

// PromisesNotRun reports whether callers take a status to say that their request has not run
// and will not run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Refusal is the error with which a request is refused. It carries no result from a
// server.
type Refusal struct {
	// Outcome is NotRun only if no server can have received any byte of the request,
	// or if the server itself refused the request before starting it.
	Outcome Outcome
	Reason  Reason
}

// Error implements error.
func (r Refusal) Error() string {
	return string(r.Reason) + ": " + string(r.Outcome)
}
