// Package discovery is a client of the discovery service of the operators' page PROTOCOL.
//
// A Watcher holds a watch (an HTTP response that stays open and carries JSON lists) and passes on each list as an
// engine.EndpointUpdate; a Source owns the goroutine in which the current watcher runs. What an update does to the
// endpoints is decided by package engine and the balancer.
//
// The names of the service's protocol stand in list.go (the fields of a list) and in watcher.go (its path and query).
package discovery
