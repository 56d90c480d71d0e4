#!/usr/bin/env bash
# Builds the programs of the cases 6 to 8, with every stand-in that they start, into review/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p ../bin
GOPROXY=off GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/ ./cmd/...
