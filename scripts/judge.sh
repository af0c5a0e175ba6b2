#!/usr/bin/env bash
# Runs all tests and passes over just the failures that KNOWN-RED.txt names; it prints those.
set -u
cd "$(dirname "$0")/.."
OUT=$(mktemp)
trap 'rm -f "$OUT"' EXIT
go test -count=1 -timeout 30m "$@" ./... >"$OUT" 2>&1
CODE=$?
grep -v 'no test files' "$OUT"
[ "$CODE" -eq 0 ] && exit 0

# A failing test counts by its innermost name; a build failure, panic or timeout has no such name and fails.
if grep -qE '^(panic:|FAIL.*\[(build|setup) failed\])' "$OUT"; then
  echo "a test binary did not run to its end"
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
echo "known red, see KNOWN-RED.txt:"
grep -E '^ *--- FAIL: ' "$OUT" | awk '{print "  " $3}'
if [ -n "$UNKNOWN" ]; then
  echo "failed and not known: $UNKNOWN"
  exit 1
fi
grep -qE '^ *--- FAIL: ' "$OUT" || exit 1
exit 0
