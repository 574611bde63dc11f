// Package core runs an engine in a process: one goroutine handles all its events, and nothing in it waits for anything.
// Attempts and probes run on goroutines of their own and report back. Fronts hand requests in with the way to make an
// attempt, sources of membership tell lists, and whoever talks to endpoints is known as Upstream. No other package calls
// an engine in a process that serves. It decides nothing, and may not know protocols, sockets or files.
package core
