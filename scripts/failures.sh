#!/usr/bin/env bash
# Tests failures with real processes on loopback: killed and frozen processes, a platform outage and concurrent
# operators. Prints one line for each check and exits with 1 if any check failed.
set -u
cd "$(dirname "$0")/.."
. scripts/site.sh
trap stop_site EXIT

FAILED=0
PASSED=0
check() { # check NAME COMMAND... counts a check as passed if the command succeeds
  local name=$1
  shift
  if "$@"; then
    PASSED=$((PASSED + 1))
    echo "passed: $name"
  else
    FAILED=$((FAILED + 1))
    echo "FAILED: $name"
  fi
}
cli() { "$BIN/coltsfootscale" "$@"; }
ask() { cli ask $ENTRIES --KeyFile "$1" --Model menu-7b --MaxTokens "${2:-5}" "question ${3:-}" 2>/dev/null; }
fails() { ! "$@" >/dev/null 2>&1; }
get_verdict() { "$BIN/standin" get "$1/verdict"; }
verdict_field() { get_verdict "$1" | tr ',{}' '\n' | grep "\"$2\":" | head -n 1 | cut -d: -f2; }
equals() { [ "$1" = "$2" ] || { echo "  got $1, want $2"; return 1; }; }
no_interruptions() { ! grep -q Cut "$1" || { cat "$1"; return 1; }; }
run_load() { cli load $ENTRIES --KeyFile "$RUN/team.key" --Model menu-7b --Requests "$1" --Concurrency 16 --OutputTokens 40 --Timeout 90s >"$2" 2>/dev/null; }
eventually() { # eventually COMMAND... retries for about a minute until the command succeeds
  local tries=0
  while [ "$tries" -lt 300 ]; do
    "$@" && return 0
    sleep 0.2
    tries=$((tries + 1))
  done
  return 1
}
PLATFORM=http://127.0.0.1:18001

start_site || exit 1
check "publish" cli publish $ENTRIES $OPERATOR --Inventory "$SITE/inventory.ini" --Rules "$SITE/rules.ini"
cli key grant $ENTRIES $OPERATOR --Team tabline --ID k1 >"$RUN/team.key" 2>/dev/null

# Stop an entry instance and an engine while requests are in flight.
run_load 160 "$RUN/load1.out" &
LOAD=$!
sleep 1
signal entry-c TERM
signal engine-b TERM
sleep 1
check "a leaving entry still serves clients that have cached its address" "$BIN/standin" get http://127.0.0.1:18103/healthz
wait "$LOAD"
check "planned stops interrupt no request" no_interruptions "$RUN/load1.out"
check "the stopped entry exited by itself" wait_for_exit entry-c
start_entry c
start_engine b 2 --ChecksFence
check "the entry rejoined" wait_for_members 3

# Kill an engine: its answers are resumed on other engines.
run_load 120 "$RUN/load2.out" &
LOAD=$!
sleep 1
signal engine-a KILL
wait "$LOAD"
check "a killed engine loses no answer" no_interruptions "$RUN/load2.out"
start_engine a 1 --ChecksFence

# Freeze an entry instance while a key is withdrawn.
signal entry-b STOP
check "withdraw a key while an entry is frozen" cli key withdraw --Entry http://127.0.0.1:18101 $OPERATOR --ID k1
signal entry-b CONT
check "the resumed entry refuses the withdrawn key" fails cli ask --Entry http://127.0.0.1:18102 --KeyFile "$RUN/team.key" --Model menu-7b x
cli key grant --Entry http://127.0.0.1:18101 $OPERATOR --Team tabline --ID k2 >"$RUN/team.key" 2>/dev/null

# Kill the lease holder: another instance reports the usage windows.
sleep 3
HOLDER=$(cli status --Entry http://127.0.0.1:18101 $OPERATOR | sed -n 's/^lease held by \(entry-.\).*/\1/p')
BEFORE=$(verdict_field $PLATFORM Reports)
if [ -n "$HOLDER" ]; then signal "$HOLDER" KILL; fi
more_reports() { [ "$(verdict_field $PLATFORM Reports)" -gt "$BEFORE" ]; }
check "windows are reported after the lease holder is killed" eventually more_reports
start_entry "${HOLDER#entry-}"
check "the killed entry rejoined" wait_for_members 3

# Take the platform down: serving continues, but calls that must not run twice are refused because they cannot be
# recorded.
"$BIN/standin" post $PLATFORM/fault '{"Down":true}' >/dev/null
sleep 6
check "requests are served during a platform outage" ask "$RUN/team.key" 5 outage
check "a call that cannot be recorded is refused" fails cli call $ENTRIES --KeyFile "$RUN/team.key" --Path /settlements --IdempotencyKey outage '{}'
"$BIN/standin" post $PLATFORM/fault '{"LoseAnswers":0.3}' >/dev/null
sleep 2

# Publish concurrently and repeat calls while the platform loses answers.
for n in 1 2 3; do
  cli publish --Entry "http://127.0.0.1:1810$n" $OPERATOR --Base 1 --Inventory "$SITE/inventory.ini" --Rules "$SITE/rules.ini" >"$RUN/publish$n.out" 2>&1 &
  PUBLISHES="${PUBLISHES:-} $!"
done
SUCCEEDED=0
for pid in $PUBLISHES; do if wait "$pid"; then SUCCEEDED=$((SUCCEEDED + 1)); fi; done
check "one of three concurrent publishes succeeds" equals "$SUCCEEDED" 1
for n in 1 2 3 4 5 6; do
  cli call $ENTRIES --KeyFile "$RUN/team.key" --Path /settlements --IdempotencyKey "tab-$((n % 2))" '{}' >/dev/null 2>&1
done
check "each call ran at most once" equals "$(get_verdict http://127.0.0.1:18401 | tr ',{}' '\n' | grep '"tab-' | grep -vc ':1$')" 0
"$BIN/standin" post $PLATFORM/fault '{}' >/dev/null
sleep 12

check "no wrong report" equals "$(verdict_field $PLATFORM WrongReports)" 0
check "no stale report" equals "$(verdict_field $PLATFORM StaleReports)" 0
check "no conflicting target order" equals "$(verdict_field $PLATFORM ConflictingOrders)" 0
for n in 1 2 3; do
  check "engine $n received no key" equals "$(verdict_field "http://127.0.0.1:1830$n" KeysSeen)" 0
  check "engine $n received no conflicting order" equals "$(verdict_field "http://127.0.0.1:1830$n" ConflictingOrders)" 0
done
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
