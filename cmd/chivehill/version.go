package main

import (
	"fmt"
	"runtime/debug"

	"github.com/chivehill/chivehill/internal/chivehillpeer"
)

// versionCmd prints the version.
type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run() error {
	version := "development"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Printf("chivehill %s, peer protocol %d\n", version, chivehillpeer.Protocol)
	return nil
}
