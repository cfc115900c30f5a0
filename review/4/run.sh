#!/usr/bin/env bash
# Case 4: a gateway in its planned stop is told that its settings file has changed. TROUBLE=0 leaves the second signal out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/springrail-gateway ] && [ -x target/review/rig2 ] || { echo 'build first: review/build-2.sh' >&2; exit 2; }
exec target/review/rig2 --case 4 --root . --record review/4/record.txt
