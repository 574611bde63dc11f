// Package overload limits the load that one instance of a fleet adds to endpoints that all instances share.
// While the endpoints cannot serve all requests, it decides which fraction of the requests is admitted, and how
// many retries and probes may still be sent. Instances need not communicate: the inputs are the instance's own
// demand, the outcomes of its attempts, and the load reports of endpoints, which cover the traffic of all
// instances.
//
// The admission level (level.go) is controlled by additive increase and multiplicative decrease (AIMD: Chiu and
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks",
// 1989), so that instances with the same evidence converge to the same level. Instances that communicate may
// use a common level (shared_level.go). At a given level, shedding.go decides which classes and tenants are
// shed first. Retries are limited by a retry budget (Beyer et al., "Site Reliability Engineering", 2016,
// chapter 21), which is a ratio of the accepted first attempts (retries.go). Probes are limited by a ratio of
// the accepted first attempts and by a rate per endpoint (probes.go). Bounds (bounds.go) contains all of these
// decisions at one instant.
//
// A Controller is a deterministic state machine and must not be used by several goroutines at once. The package
// does no I/O, reads no clock, and draws random numbers only from a seed. It must not import the balancer,
// endpoint lists, requests or sockets.
package overload
