// Package chivehillid defines the types of identifiers and quantities that
// several packages share.
package chivehillid

import (
	"crypto/rand"
	"encoding/hex"
)

// HostID names one entry host. It is set in the host's settings and stays the
// same across restarts.
type HostID string

// Incarnation identifies one run of the process on a host. It consists of 16
// random lower-case hexadecimal digits, generated at process start.
type Incarnation string

// incarnationBytes is the number of random bytes in an incarnation.
const incarnationBytes = 8

// NewIncarnation generates a random incarnation.
func NewIncarnation() Incarnation {
	var raw [incarnationBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw[:])
	return Incarnation(hex.EncodeToString(raw[:]))
}

// RegionID names a region.
type RegionID string

// DomainID names a failure domain.
type DomainID string

// PoolID names an upstream pool.
type PoolID string

// ServerID names one server of an upstream pool. It is unique in the deployment.
type ServerID string

// RouteID names a route.
type RouteID string

// ServiceID names a service.
type ServiceID string

// RequestID identifies one request attempt of a caller, which chooses the ID.
type RequestID string

// TenantID names a tenant, the caller on whose behalf a request is sent.
type TenantID string

// WorkspaceID names a workspace: a customer of the deployment with keys and a quota of its
// own.
type WorkspaceID string

// SoftwareVersion names a version of the software that the servers of a service run. It is
// empty if a server states none.
type SoftwareVersion string

// NoteID names a release note. The author of the note chooses it.
type NoteID string

// Version is the version of the active configuration. Each accepted release
// note increments it by one.
type Version uint64

// Epoch is the version of the membership. Each membership change increments it
// by one.
type Epoch uint64

// AskID identifies a request for a slot. It is unique within the host that sent
// the request.
type AskID uint64

// GrantID identifies a granted slot. It is unique within the host that owns the
// server.
type GrantID uint64

// Fingerprint is a hash of a request's route, tenant, method, path and body.
type Fingerprint uint64

// Bytes is a size in bytes.
type Bytes int64

// Slots is a number of concurrent requests.
type Slots int
