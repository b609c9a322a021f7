// Package chivehillwire holds the types of settings, release notes, stored
// objects and peer messages. They are generated from the schemas in schema/.
package chivehillwire
