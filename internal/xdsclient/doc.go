// Package xdsclient is a client of the xDS transport protocol
// (https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol): it subscribes to versions of the configuration
// at a control plane (management server), in the state-of-the-world variant over an aggregated gRPC stream, with
// resources of the project's own kinds in xds.type.v3.TypedStruct.
//
// It decodes responses within bounds and acknowledges (ACK) or rejects (NACK) them by version_info and nonce. Package
// rollout decides which version is applied, and package config what a resource means. This package must not import
// package daemon, which applies versions.
package xdsclient
