// Package core runs an engine in a process. One goroutine handles all events of the engine (Core.Run), and nothing in
// it blocks. Attempts and probes run on goroutines of their own and report their outcomes as events.
//
// Frontends submit requests together with the function that makes an attempt (Call), sources of endpoint lists pass
// updates to pools (Pool), and the package that talks to endpoints implements Upstream. No other package calls an
// engine in a process that serves. The package decides nothing, and must not import packages of protocols, sockets or
// files.
package core
