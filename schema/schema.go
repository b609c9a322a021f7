// Package schema holds the JSON Schemas from which the wire types are generated.
package schema

import _ "embed" // for the schema texts

// Settings is the schema of a settings file.
//
//go:embed settings.schema.json
var Settings string

// Wire is the schema of release notes, stored objects and peer messages.
//
//go:embed wire.schema.json
var Wire string

// Gateway is the schema of the settings of a gateway.
//
//go:embed gateway.schema.json
var Gateway string

// Relay is the schema of the messages between gateways.
//
//go:embed relay.schema.json
var Relay string

// Quota is the schema of the messages between gateways about quotas.
//
//go:embed quota.schema.json
var Quota string
