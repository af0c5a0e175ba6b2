#!/usr/bin/env bash
# Starts the local site, demonstrates the main functions, and stops the site.
set -eu
cd "$(dirname "$0")/.."
. scripts/site.sh
trap stop_site EXIT

heading() { printf '\n== %s\n' "$*"; }
cli() { "$BIN/coltsfootscale" "$@"; }

heading "Start the platform, three engines, a plain service and three entry instances"
start_site
cli addresses $ENTRIES --AvailabilityZone seoul-b

heading "Publish inventory and rules"
cli publish $ENTRIES $OPERATOR --Inventory "$SITE/inventory.ini" --Rules "$SITE/rules.ini"

heading "Grant a key and stream an answer"
cli key grant $ENTRIES $OPERATOR --Team tabline --ID tabline-1 >"$RUN/team.key"
cli ask $ENTRIES --KeyFile "$RUN/team.key" --Model menu-7b --MaxTokens 20 "Explain the disputed tab of table 7." 2>"$RUN/ask.err"
cat "$RUN/ask.err"

heading "Explain the routing decision for that request"
cli explain $ENTRIES $OPERATOR "$(awk '/^request/ {print $2}' "$RUN/ask.err")" | head -n 1

heading "Send a non-repeatable call twice with the same idempotency key"
for _ in 1 2; do
  cli call $ENTRIES --KeyFile "$RUN/team.key" --Path /settlements --IdempotencyKey tab-7 '{"Tab":7}'
done

heading "Withdraw the key; requests with it are refused"
cli key withdraw $ENTRIES $OPERATOR --ID tabline-1
if cli ask $ENTRIES --KeyFile "$RUN/team.key" --Model menu-7b "Again?" 2>&1; then
  echo "a withdrawn key is still accepted" >&2
  exit 1
fi

heading "Stop an entry instance and an engine while requests are in flight"
cli key grant $ENTRIES $OPERATOR --Team migrat --ID migrat-1 >"$RUN/load.key" 2>/dev/null
cli load $ENTRIES --KeyFile "$RUN/load.key" --Model menu-7b --Requests 240 --Concurrency 24 --OutputTokens 60 --Timeout 60s >"$RUN/load.out" 2>/dev/null &
LOAD=$!
sleep 2
signal entry-b TERM
signal engine-b TERM
wait "$LOAD"
cat "$RUN/load.out"
if grep -q Cut "$RUN/load.out"; then
  echo "a planned stop interrupted a request" >&2
  exit 1
fi

heading "Show the usage not yet reported, and the platform's verdict"
sleep 1
cli usage $ENTRIES $OPERATOR
"$BIN/standin" get http://127.0.0.1:18001/verdict

heading "Done; logs are in $RUN"
