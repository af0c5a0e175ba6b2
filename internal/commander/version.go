package commander

import (
	"fmt"
	"runtime/debug"
)

type versionQuery struct{ deferred }

func (q *versionQuery) validate() error { return nil }

// run prints the module version, the commit and the Go version.
func (q *versionQuery) run(env *Environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("%w: the binary contains no build information", ErrRefused)
	}
	commit := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			commit = s.Value
		}
	}
	fmt.Fprintf(env.Stdout, "coltsfootscale %s, commit %s, %s\n", info.Main.Version, commit, info.GoVersion)
	return nil
}
