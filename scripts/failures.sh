#!/usr/bin/env bash
# Failure runs with real processes on loopback: kills, freezes, a platform that goes away, racing operators.
# Prints one line for each check and exits with 1 if any failed.
set -u
cd "$(dirname "$0")/.."
. scripts/site.sh
trap stop_site EXIT

FAILED=0
PASSED=0
check() { # check NAME COMMAND... counts a check by the command's exit code
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
colt() { "$BIN/coltsfootscale" "$@"; }
ask() { colt ask $ENTRIES --KeyFile "$1" --Model menu-7b --MaxTokens "${2:-5}" "question ${3:-}" 2>/dev/null; }
refused() { ! "$@" >/dev/null 2>&1; }
verdict() { "$BIN/standin" get "$1/verdict"; }
field() { verdict "$1" | tr ',{}' '\n' | grep "\"$2\":" | head -n 1 | cut -d: -f2; }
equals() { [ "$1" = "$2" ] || { echo "  got $1, want $2"; return 1; }; }
no_cuts() { ! grep -q Cut "$1" || { cat "$1"; return 1; }; }
load() { colt load $ENTRIES --KeyFile "$RUN/team.key" --Model menu-7b --Requests "$1" --Concurrency 16 --OutputTokens 40 --Timeout 90s >"$2" 2>/dev/null; }
eventually() { # eventually COMMAND... tries for a minute
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
check "publish" colt publish $ENTRIES $OPERATOR --Inventory "$SITE/inventory.ini" --Rules "$SITE/rules.ini"
colt key grant $ENTRIES $OPERATOR --Team tabline --ID k1 >"$RUN/team.key" 2>/dev/null

# An entry and an engine are stopped by plan while answers are under way.
load 160 "$RUN/load1.out" &
LOAD=$!
sleep 1
signal entry-c TERM
signal engine-b TERM
sleep 1
check "a leaving entry still takes callers that have its address cached" "$BIN/standin" get http://127.0.0.1:18103/healthz
wait "$LOAD"
check "planned stops cut nothing" no_cuts "$RUN/load1.out"
check "the stopped entry ended by itself" finished entry-c
start_entry c
start_engine b 2 --ChecksFence
check "the entry joined again" wait_members 3

# An engine is killed: answers are resumed elsewhere.
load 120 "$RUN/load2.out" &
LOAD=$!
sleep 1
signal engine-a KILL
wait "$LOAD"
check "a killed engine loses no answer" no_cuts "$RUN/load2.out"
start_engine a 1 --ChecksFence

# An entry is frozen across a withdrawal.
signal entry-b STOP
check "withdrawal with a frozen entry" colt key withdraw --Entry http://127.0.0.1:18101 $OPERATOR --ID k1
signal entry-b CONT
check "the key works nowhere" refused colt ask --Entry http://127.0.0.1:18102 --KeyFile "$RUN/team.key" --Model menu-7b x
colt key grant --Entry http://127.0.0.1:18101 $OPERATOR --Team tabline --ID k2 >"$RUN/team.key" 2>/dev/null

# Whoever holds the lease is killed; windows go on being reported.
sleep 3
HOLDER=$(colt status --Entry http://127.0.0.1:18101 $OPERATOR | sed -n 's/^lease held by \(entry-.\).*/\1/p')
BEFORE=$(field $PLATFORM Reports)
if [ -n "$HOLDER" ]; then signal "$HOLDER" KILL; fi
more_reports() { [ "$(field $PLATFORM Reports)" -gt "$BEFORE" ]; }
check "windows are reported after the holder was killed" eventually more_reports
start_entry "${HOLDER#entry-}"
check "the killed entry joined again" wait_members 3

# The platform is away for a while: serving goes on, calls that must not run twice are refused.
"$BIN/standin" post $PLATFORM/fault '{"Down":true}' >/dev/null
sleep 6
check "serving through an outage of the platform" ask "$RUN/team.key" 5 outage
check "no call without its record" refused colt call $ENTRIES --KeyFile "$RUN/team.key" --Path /settlements --IdempotencyKey outage '{}'
"$BIN/standin" post $PLATFORM/fault '{"LoseAnswers":0.3}' >/dev/null
sleep 2

# Operators race; each call runs once.
for n in 1 2 3; do
  colt publish --Entry "http://127.0.0.1:1810$n" $OPERATOR --Base 1 --Inventory "$SITE/inventory.ini" --Rules "$SITE/rules.ini" >"$RUN/race$n.out" 2>&1 &
  RACE="${RACE:-} $!"
done
WON=0
for pid in $RACE; do if wait "$pid"; then WON=$((WON + 1)); fi; done
check "one of three racing publishes wins" equals "$WON" 1
for n in 1 2 3 4 5 6; do
  colt call $ENTRIES --KeyFile "$RUN/team.key" --Path /settlements --IdempotencyKey "tab-$((n % 2))" '{}' >/dev/null 2>&1
done
check "calls ran at most once" equals "$(verdict http://127.0.0.1:18401 | tr ',{}' '\n' | grep '"tab-' | grep -vc ':1$')" 0
"$BIN/standin" post $PLATFORM/fault '{}' >/dev/null
sleep 12

check "no wrong report" equals "$(field $PLATFORM WrongReports)" 0
check "no stale report" equals "$(field $PLATFORM StaleReports)" 0
check "no conflicting target order" equals "$(field $PLATFORM ConflictingOrders)" 0
for n in 1 2 3; do
  check "engine $n saw no key" equals "$(field "http://127.0.0.1:1830$n" KeysSeen)" 0
  check "engine $n got no conflicting order" equals "$(field "http://127.0.0.1:1830$n" ConflictingOrders)" 0
done
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
