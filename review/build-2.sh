#!/usr/bin/env bash
# Builds the programs of the deploy file and the stand-ins that the scripts of review/4 to review/8 start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/springrail-gateway ./cmd/springrail-stager
go build -o target/review/rig2 ./review/rig2
