#!/bin/bash
# Builds the stand-ins of the cases, after the build of deploy/balancer.toml. It needs no network: only the standard library.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-mod=mod go build -o bin/ ./tool
