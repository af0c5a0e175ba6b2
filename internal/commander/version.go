package commander

import (
	"fmt"
	"runtime/debug"
)

type versionQuery struct{ deferred }

func (q *versionQuery) validate() error { return nil }

// run prints what was built: the module's version, the commit, and the version of Go.
func (q *versionQuery) run(env *Environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("%w: this program was built without build information", ErrRefused)
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
