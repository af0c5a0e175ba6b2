#!/usr/bin/env bash
# Measures the relay against a direct connection to the same stand-in, in one run: added latency from 1 to
# 200 streams, tokens a second for each second of processor time, and memory per open stream.
set -eu
cd "$(dirname "$0")/.."
. scripts/site.sh
trap stop_site EXIT

ENTRY="--Entry http://127.0.0.1:18101"
ENGINE="--Entry http://127.0.0.1:18301"
colt() { "$BIN/coltsfootscale" "$@"; }
load() { # load TARGET STREAMS OUTPUT [REQUESTS-PER-STREAM]
  colt load $1 --KeyFile "$RUN/team.key" --Model menu-7b --Requests $(($2 * ${4:-4})) --Concurrency "$2" --OutputTokens "$3" --PromptTokens 100 --Swing 0s --Timeout 120s 2>/dev/null
}
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$RUN/entry-a.pid")/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$(cat "$RUN/entry-a.pid")/status"; }

start platform "$BIN/standin" platform --Listen 127.0.0.1:18001
start engine-a "$BIN/standin" engine --Listen 127.0.0.1:18301 --Model menu-7b --ChecksFence --PrefillPerSecond 1000000 --DecodePerSecond 100 --Slots 4096
start settlement-a "$BIN/standin" service --Listen 127.0.0.1:18401
start_entry a
wait_members 1
sed -e '/^\[Target engine-b\]/,/^Slots/d' -e '/^\[Target engine-c\]/,/^Slots/d' -e 's/^Slots = .*/Slots = 4096/' -e 's/^PrefillTokensPerSecond = .*/PrefillTokensPerSecond = 1000000/' "$SITE/inventory.ini" >"$RUN/inventory.ini"
colt publish $ENTRY $OPERATOR --Inventory "$RUN/inventory.ini" --Rules "$SITE/rules.ini"
colt key grant $ENTRY $OPERATOR --Team tabline --ID k1 >"$RUN/team.key" 2>/dev/null

for streams in 1 10 50 200; do
  echo "== $streams streams, direct"
  load "$ENGINE" "$streams" 40
  echo "== $streams streams, through the entry"
  before=$(ticks)
  load "$ENTRY" "$streams" 40 | tee "$RUN/load.out"
  after=$(ticks)
  awk -v t="$((after - before))" -v hz="$(getconf CLK_TCK)" '/finished in/ {sub(/:.*/, ""); s=$4; requests=$1}
    /finished in/ {next} END {printf "%.2f s of processor time for %d requests\n", t / hz, requests}' "$RUN/load.out"
done

echo "== memory of the entry"
echo "$(resident) KB with no stream"
for streams in 100 200 400 800; do
  load "$ENTRY" "$streams" 400 1 >"$RUN/many.out" &
  MANY=$!
  sleep 3
  echo "$(resident) KB with $streams streams open"
  wait "$MANY"
done
tail -n 1 "$RUN/many.out"
