#!/bin/bash
# Shows the case with the project's own program; see claim.txt. Build first: the deploy file's build line, then review/build.sh.
# With TROUBLE=0 it does the same without the disruption. Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/coltsfootscale ] || { echo "not built" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec ../bin/standin handed-over "$(cd ../.. && pwd)" "$PWD/record.txt"
