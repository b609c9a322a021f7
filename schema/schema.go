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
