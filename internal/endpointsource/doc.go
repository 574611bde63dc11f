// Package endpointsource provides the sources of endpoint lists other than discovery: a static list in a
// configuration, and a file that is polled for changes. A source passes on complete lists. Package engine and the
// balancer decide how a list changes the endpoints.
package endpointsource
