#!/usr/bin/env bash
# Starts the local site, shows each part of the whole path, and stops the site again.
set -eu
cd "$(dirname "$0")/.."
. scripts/site.sh
trap stop_site EXIT

say() { printf '\n== %s\n' "$*"; }
colt() { "$BIN/coltsfootscale" "$@"; }

say "Start the platform, three engines, a plain service and three entry instances"
start_site
colt addresses $ENTRIES --AvailabilityZone seoul-b

say "Publish inventory and rules"
colt publish $ENTRIES $OPERATOR --Inventory "$SITE/inventory.ini" --Rules "$SITE/rules.ini"

say "Grant a key and stream an answer"
colt key grant $ENTRIES $OPERATOR --Team tabline --ID tabline-1 >"$RUN/team.key"
colt ask $ENTRIES --KeyFile "$RUN/team.key" --Model menu-7b --MaxTokens 20 "Explain the disputed tab of table 7." 2>"$RUN/ask.err"
cat "$RUN/ask.err"

say "The decision that was made for it"
colt explain $ENTRIES $OPERATOR "$(awk '/^request/ {print $2}' "$RUN/ask.err")" | head -n 1

say "A call that must not run twice, sent twice under one idempotency key"
for _ in 1 2; do
  colt call $ENTRIES --KeyFile "$RUN/team.key" --Path /settlements --IdempotencyKey tab-7 '{"Tab":7}'
done

say "Withdraw the key; the same question is refused"
colt key withdraw $ENTRIES $OPERATOR --ID tabline-1
if colt ask $ENTRIES --KeyFile "$RUN/team.key" --Model menu-7b "Again?" 2>&1; then
  echo "a withdrawn key still works" >&2
  exit 1
fi

say "Stop an entry instance and an engine while answers are under way"
colt key grant $ENTRIES $OPERATOR --Team migrat --ID migrat-1 >"$RUN/load.key" 2>/dev/null
colt load $ENTRIES --KeyFile "$RUN/load.key" --Model menu-7b --Requests 240 --Concurrency 24 --OutputTokens 60 --Timeout 60s >"$RUN/load.out" 2>/dev/null &
LOAD=$!
sleep 2
signal entry-b TERM
signal engine-b TERM
wait "$LOAD"
cat "$RUN/load.out"
if grep -q Cut "$RUN/load.out"; then
  echo "a planned stop cut a request" >&2
  exit 1
fi

say "Usage that is not yet reported, and what the platform saw"
sleep 1
colt usage $ENTRIES $OPERATOR
"$BIN/standin" get http://127.0.0.1:18001/verdict

say "Done; logs were in $RUN"
