#!/usr/bin/env bash
# Runs all tests. Prints the failures and exits with 1 unless KNOWN-RED.txt lists all of them.
set -u
cd "$(dirname "$0")/.."
OUT=$(mktemp)
trap 'rm -f "$OUT"' EXIT
# The tests of clients that misbehave run one at a time, after all others.
go test -count=1 -timeout 30m -skip '^TestMisbehaving' "$@" ./... >"$OUT" 2>&1
CODE=$?
go test -count=1 -timeout 30m -run '^TestMisbehaving' "$@" ./platform >>"$OUT" 2>&1 || CODE=1
grep -v 'no test files' "$OUT"
[ "$CODE" -eq 0 ] && exit 0

# Only the innermost failing subtests are compared with the list. A build failure, panic or timeout names no test,
# so it always fails.
if grep -qE '^(panic:|FAIL.*\[(build|setup) failed\])' "$OUT"; then
  echo "a test binary did not finish"
  exit 1
fi
UNKNOWN=$(awk '
  FILENAME == "KNOWN-RED.txt" { if ($1 ~ /^Test/) known[$1] = 1; next }
  /^ *--- FAIL: / { failed[$3] = 1 }
  END {
    for (name in failed) {
      leaf = 1
      for (other in failed) if (index(other, name "/") == 1) leaf = 0
      if (leaf && !(name in known)) print name
    }
  }' KNOWN-RED.txt "$OUT")
echo "failed tests (see KNOWN-RED.txt):"
grep -E '^ *--- FAIL: ' "$OUT" | awk '{print "  " $3}'
if [ -n "$UNKNOWN" ]; then
  echo "failed and not listed in KNOWN-RED.txt: $UNKNOWN"
  exit 1
fi
grep -qE '^ *--- FAIL: ' "$OUT" || exit 1
exit 0
