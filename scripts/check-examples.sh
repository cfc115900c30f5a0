#!/usr/bin/env bash
# Checks the settings files of all examples with the binaries that read them.
set -euo pipefail
bin=${BIN:-bin}
for f in examples/*/entry-*.toml; do "$bin/springrail-entry" --check --settings "$f"; done
for f in examples/*/agent-*.toml; do "$bin/springrail-agent" --check --settings "$f"; done
