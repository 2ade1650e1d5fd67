package raft

import "fmt"

// assert ends the program when an invariant doesn't hold: to continue could
// lose or fork committed entries.
func assert(holds bool, format string, args ...any) {
	if !holds {
		panic("raft: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
