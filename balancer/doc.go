// Package balancer decides for a client-side load balancer: to which endpoint each request goes, which requests are
// retried and which are rejected, which endpoints are probed, and when discovery is polled.
//
// A Balancer is a deterministic state machine without clock, goroutines or I/O. The host calls an event method for
// each thing that happens, with its instant, and the balancer answers by calling the host's Actions from within that
// method. Equal settings, seed and events give equal actions. It serves one caller at a time; it is not safe for
// concurrent use.
//
// api.go holds events and actions, settings.go the settings, state.go the records, learned.go the state that another
// balancer takes over. The decisions stand in lifecycle.go, membership.go, warmup.go, probes.go, admission.go,
// pick.go, latency.go, requests.go, breaker.go and outliers.go, in that reading order. The package imports
// no more than fmt, math, slices, strconv and internal/monotime, and takes no decision by anything but its state and
// the event.
package balancer
