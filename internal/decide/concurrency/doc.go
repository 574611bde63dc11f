// Package concurrency learns how many requests an instance may have in flight before further ones only wait at the
// endpoints. Its inputs are how long requests took, and how many were in flight when each was sent. It must not import
// endpoints, clients or sockets.
//
// The algorithm is that of TCP Vegas (Brakmo, Peterson: "TCP Vegas: End to End Congestion Avoidance on a Global
// Internet", IEEE JSAC 1995), which Netflix's concurrency-limits uses, too: of n requests in flight that take r times
// as long as a request alone, n*(1-1/r) are waiting. The limit grows while few wait, and shrinks while many do
// (limiter.go). The baseline, the time that a request takes alone, is measured while few are in flight (baseline.go).
// If that does not happen by itself, the limit is lowered for a second, as Envoy's adaptive concurrency filter does
// for its minRTT.
//
// A Limiter is a deterministic state machine for one goroutine at a time.
package concurrency
