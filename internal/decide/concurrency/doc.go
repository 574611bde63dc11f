// Package concurrency estimates how many requests an instance may have in flight before additional requests
// only wait at the endpoints. Its inputs are the time in flight of each request, and the number of requests in
// flight when it was sent. It must not import endpoints, clients or sockets.
//
// The algorithm is that of TCP Vegas (Brakmo, Peterson: "TCP Vegas: End to End Congestion Avoidance on a Global
// Internet", IEEE JSAC 1995), which Netflix's concurrency-limits also uses: if n requests are in flight and
// take r times as long as a request alone, n*(1-1/r) of them are waiting. The limit grows while few requests
// wait, and shrinks while many do (limiter.go). The baseline, the time that a request takes alone, is measured
// while few requests are in flight (baseline.go). If traffic alone does not provide such samples, the limit is
// lowered for a second, as in Envoy's adaptive concurrency filter for its minRTT.
//
// A Limiter is a deterministic state machine and must not be used by several goroutines at once.
package concurrency
