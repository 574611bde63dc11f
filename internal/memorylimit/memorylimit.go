// Package memorylimit bounds the memory that the Go runtime uses.
package memorylimit

import "runtime/debug"

// Parts of the memory from which on garbage is collected more often, in percent. The rest is for what the runtime does
// not count, such as the program's code and libraries. With a lower part, collecting would take the processors from
// requests while many connections are open.
const (
	SidecarPercent = 75
	DaemonPercent  = 50 // its libraries take more than the sidecar's code
)

// Set sets the soft limit of the runtime to a part in percent of the memory in bytes that the process may use.
func Set(memory, percent int64) { debug.SetMemoryLimit(memory * percent / 100) }
