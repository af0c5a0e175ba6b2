#!/usr/bin/env bash
# Compares requests through an entry instance with direct requests to the same stand-in engine, in one run: latency
# with 1 to 200 streams. Also prints the CPU time of the entry, and its memory with 0 to 800 open streams.
set -eu
cd "$(dirname "$0")/.."
. scripts/site.sh
trap stop_site EXIT

ENTRY="--Entry http://127.0.0.1:18101"
ENGINE="--Entry http://127.0.0.1:18301"
cli() { "$BIN/coltsfootscale" "$@"; }
run_load() { # run_load TARGET STREAMS OUTPUT [REQUESTS-PER-STREAM]
  cli load $1 --KeyFile "$RUN/team.key" --Model menu-7b --Requests $(($2 * ${4:-4})) --Concurrency "$2" --OutputTokens "$3" --PromptTokens 100 --Swing 0s --Timeout 120s 2>/dev/null
}
cpu_ticks() { awk '{print $14 + $15}' "/proc/$(cat "$RUN/entry-a.pid")/stat"; }
resident_kilobytes() { awk '/VmRSS/ {print $2}' "/proc/$(cat "$RUN/entry-a.pid")/status"; }

start platform "$BIN/standin" platform --Listen 127.0.0.1:18001
start engine-a "$BIN/standin" engine --Listen 127.0.0.1:18301 --Model menu-7b --ChecksFence --PrefillPerSecond 1000000 --DecodePerSecond 100 --Slots 4096
start settlement-a "$BIN/standin" service --Listen 127.0.0.1:18401
start_entry a
wait_for_members 1
sed -e '/^\[Target engine-b\]/,/^Slots/d' -e '/^\[Target engine-c\]/,/^Slots/d' -e 's/^Slots = .*/Slots = 4096/' -e 's/^PrefillTokensPerSecond = .*/PrefillTokensPerSecond = 1000000/' "$SITE/inventory.ini" >"$RUN/inventory.ini"
cli publish $ENTRY $OPERATOR --Inventory "$RUN/inventory.ini" --Rules "$SITE/rules.ini"
cli key grant $ENTRY $OPERATOR --Team tabline --ID k1 >"$RUN/team.key" 2>/dev/null

for streams in 1 10 50 200; do
  echo "== $streams streams, direct"
  run_load "$ENGINE" "$streams" 40
  echo "== $streams streams, through the entry"
  before=$(cpu_ticks)
  run_load "$ENTRY" "$streams" 40 | tee "$RUN/load.out"
  after=$(cpu_ticks)
  awk -v t="$((after - before))" -v hz="$(getconf CLK_TCK)" '/finished in/ {sub(/:.*/, ""); s=$4; requests=$1}
    /finished in/ {next} END {printf "%.2f s of processor time for %d requests\n", t / hz, requests}' "$RUN/load.out"
done

echo "== memory of the entry"
echo "$(resident_kilobytes) KB with no stream"
for streams in 100 200 400 800; do
  run_load "$ENTRY" "$streams" 400 1 >"$RUN/many.out" &
  MANY=$!
  sleep 3
  echo "$(resident_kilobytes) KB with $streams streams open"
  wait "$MANY"
done
tail -n 1 "$RUN/many.out"
