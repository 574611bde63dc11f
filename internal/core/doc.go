// Package core runs an engine in a process. One goroutine, that of Core.Run, handles all events of the engine, and
// nothing in it blocks. Each attempt and each probe runs on a goroutine of its own that ends with it, and reports its
// outcome as an event.
//
// Frontends submit requests together with the function that makes an attempt (Call), sources of endpoint lists pass
// updates to pools (Pool), and the package that sends requests to endpoints implements Upstream. No other package
// calls an engine in a process that serves. The package decides nothing, and must not import packages of protocols,
// sockets or files.
package core
