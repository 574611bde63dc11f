// Package core runs an engine in a process. The goroutine of Core.Run handles all events of the engine and
// never blocks. Each attempt and each probe runs on a separate goroutine, which reports its outcome as an event
// and then ends.
//
// Frontends submit each request together with the function that makes its attempts (Call). Sources of endpoint
// lists send updates to pools (Pool). The package that sends requests to endpoints implements Upstream. In a
// process that serves requests, no other package calls an engine. Package core makes no load balancing
// decisions, and must not import packages of protocols, sockets or files.
package core
