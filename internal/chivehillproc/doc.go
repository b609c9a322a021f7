// Package chivehillproc holds the integration tests: real entry hosts as
// processes, with stand-ins for everything around them.
package chivehillproc
