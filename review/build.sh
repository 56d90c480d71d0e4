#!/usr/bin/env bash
# Builds the stand-ins and the drivers of all scripts into review/bin. It needs no
# network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOPROXY=off GOFLAGS=-mod=mod GOWORK=off go build -o bin/ ./cmd/...
