// Package discovery is a client of the discovery service that the operators' page PROTOCOL describes.
//
// A Watcher keeps a watch open (an HTTP response that does not end and carries JSON lists) and passes on each
// list as an engine.EndpointUpdate. A Source owns the goroutine in which the current watcher runs. Package engine
// and the balancer decide how an update changes the endpoints.
//
// The names of the protocol are defined in list.go (the fields of a list) and in watcher.go (the path and the
// query).
package discovery
