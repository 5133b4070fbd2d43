package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints the version of the program.
type versionCommand struct{}

// Run prints the version and commit that the build recorded, and the toolchain and platform.
func (versionCommand) Run(e environment) error {
	version, commit, changed := "unknown", "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				commit = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with changes"
			}
		}
	}
	_, err := fmt.Fprintf(e.stdout, "eiderwinch %s, commit %s%s, %s %s/%s\n",
		version, commit, changed, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
