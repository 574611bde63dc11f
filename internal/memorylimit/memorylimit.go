// Package memorylimit bounds the memory that the Go runtime uses.
package memorylimit

import "runtime/debug"

// softLimitPercent is the part of the memory from which on garbage is collected more often. With a lower one, collecting
// would take the processors from requests while many connections are open; the rest is for what the runtime does not
// count, such as the program's code.
const softLimitPercent = 75

// Set sets the soft limit of the runtime for a process that may use the given memory in bytes.
func Set(memory int64) { debug.SetMemoryLimit(memory * softLimitPercent / 100) }
