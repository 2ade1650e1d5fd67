// Package ignorehup is imported by the main packages of the daemons for its effect: a
// SIGHUP that arrives while the libraries are initialized no longer ends the process.
// Packages are initialized in the order of their import paths where their own imports
// allow it, and this one has few. The settings are loaded later, so the signal needs no
// reload.
package ignorehup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
