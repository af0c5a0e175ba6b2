#!/usr/bin/env bash
# The store comes back from an older copy while the machine that does the duties is lost. Exits with 1 if the rule ONE is broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin-3 ] && [ -x target/coltsfootscale ] || { echo "build first: the deploy file's build and review/build-3.sh" >&2; exit 2; }
exec timeout --signal=TERM --kill-after=5 110 target/standin-3 drill review/13/record.txt
