// Package chivehillid defines the named types for identifiers and units.
package chivehillid

import (
	"crypto/rand"
	"encoding/hex"
)

// HostID names one entry host as its settings give it. It survives restarts.
type HostID string

// Incarnation identifies one run of the process on a host. It is 16 random
// lower-case hexadecimal digits, drawn at start.
type Incarnation string

// incarnationBytes is the number of random bytes of an incarnation.
const incarnationBytes = 8

// NewIncarnation draws an incarnation.
func NewIncarnation() Incarnation {
	var raw [incarnationBytes]byte
	// Reading random bytes does not fail.
	_, _ = rand.Read(raw[:])
	return Incarnation(hex.EncodeToString(raw[:]))
}

// RegionID names a region.
type RegionID string

// DomainID names a failure domain.
type DomainID string

// PoolID names an upstream pool.
type PoolID string

// ServerID names one server in an upstream pool. It is unique in the deployment.
type ServerID string

// RouteID names a route.
type RouteID string

// ServiceID names a service.
type ServiceID string

// RequestID identifies one attempt of a caller. The caller chooses it.
type RequestID string

// TenantID names a tenant, the caller on whose behalf a request is sent.
type TenantID string

// NoteID names a release note. Its author chooses it.
type NoteID string

// Version is the version of the configuration in force. It grows by one with
// each accepted release note.
type Version uint64

// Epoch is the version of the membership. It grows by one with each change.
type Epoch uint64

// AskID identifies an ask for a slot within the host that sent it.
type AskID uint64

// GrantID identifies a granted slot within the host that owns the server.
type GrantID uint64

// Fingerprint is a hash of a request's route, tenant, method, path and body.
type Fingerprint uint64

// Bytes is a size in bytes.
type Bytes int64

// Slots is a number of requests that run at the same time.
type Slots int
