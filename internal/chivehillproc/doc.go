// Package chivehillproc holds the integration tests. They run entry hosts as
// processes against fakes of the store, the host list and the upstream servers.
package chivehillproc
