// Package endpointsource provides the sources of endpoint lists beside discovery: a static list in a configuration,
// and a file that is read again when it changes. A source passes on complete lists; what they do to the endpoints is
// decided by package engine and the balancer.
package endpointsource
