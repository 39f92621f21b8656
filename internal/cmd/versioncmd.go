package cmd

import (
	"fmt"
	"runtime/debug"
)

// VersionCmd prints the version.
type VersionCmd struct{}

// Run prints the version recorded by the build.
func (v *VersionCmd) Run(c *Config) error {
	version := "unknown"
	if i, ok := debug.ReadBuildInfo(); ok {
		version = i.Main.Version
	}
	_, err := fmt.Fprintln(c.stdout, "lacewingdoor", version)
	return err
}
