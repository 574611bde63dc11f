// Package xdsclient is a client of the xDS transport protocol
// (https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol). It receives configuration versions from a
// control plane (management server) using the state-of-the-world variant over an aggregated gRPC stream. The
// resources are of this project's own kinds, encoded as xds.type.v3.TypedStruct.
//
// The client decodes responses within size limits, and acknowledges (ACK) or rejects (NACK) them by version_info
// and nonce. Package rollout decides which version is applied, and package config interprets the resources. This
// package must not import package daemon, which applies versions.
package xdsclient
