#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts; the programs under test are built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/rig ./review/rig
