// Package overload decides how much one instance of a fleet adds to the load of endpoints that all instances share:
// which part of the requests is admitted, and how many retries and probes may still be sent, while the endpoints
// cannot serve all requests. Instances need not communicate: the inputs are the instance's own demand, the outcomes
// of its attempts, and the load reports of endpoints, which cover the traffic of all instances.
//
// The admission level (level.go) is controlled by additive increase and multiplicative decrease (AIMD: Chiu and Jain,
// "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989), so that
// instances with the same evidence converge to the same level. A fleet that communicates may have one level in common
// (shared_level.go). Which classes and tenants are shed first at a level is decided in shedding.go. Retries are
// bounded by a retry budget (Beyer et al., "Site Reliability Engineering", 2016, chapter 21), here a ratio of the
// accepted first attempts (retries.go), and probes by such a ratio and by a rate for each endpoint (probes.go).
// Bounds (bounds.go) are all of these decisions at one instant.
//
// A Controller is a deterministic state machine for one goroutine at a time. The package does no I/O, reads no clock
// and draws from a seed only; it must not import the balancer, endpoint lists, requests or sockets.
package overload
