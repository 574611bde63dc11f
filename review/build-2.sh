#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/. It needs Go only: no module is fetched.
set -eu
cd "$(dirname "$0")/tool-2"
mkdir -p ../../bin
GOFLAGS=-buildvcs=false GOPROXY=off CGO_ENABLED=0 go build -o ../../bin/review-2 .
