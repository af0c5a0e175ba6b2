#!/bin/bash
# Shows the case with the project's own program; see claim.txt. Build first: the deploy file's build line, then review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/coltsfootscale ] || { echo "not built" >&2; exit 2; }
exec ../bin/standin shortened "$(cd ../.. && pwd)" "$PWD"
