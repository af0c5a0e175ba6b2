# Functions that start and stop the local site. Scripts source this file and call stop_site on exit.
# Only processes started by these functions are stopped.

BIN=${BIN:-bin}
SITE=${SITE:-examples/site}
RUN=${RUN:-$(mktemp -d)}
ENTRIES="--Entry http://127.0.0.1:18101 --Entry http://127.0.0.1:18102 --Entry http://127.0.0.1:18103"
OPERATOR="--OperatorKeyFile $SITE/operator.key"
PIDS=""

# start NAME COMMAND... runs a command in the background and records its process ID in $RUN/NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>"$RUN/$name.err" &
  echo $! >"$RUN/$name.pid"
  PIDS="$PIDS $!"
}

# signal NAME SIGNAL sends a signal to a process started by start.
signal() { kill "-$2" "$(cat "$RUN/$1.pid")"; }

# wait_for_exit NAME waits for a process started by start and returns its exit code.
wait_for_exit() { wait "$(cat "$RUN/$1.pid")"; }

# start_entry LETTER starts an entry instance of the local site.
start_entry() { start "entry-$1" "$BIN/coltsfootscale" serve --Settings "$SITE/entry-$1.ini"; }

# start_engine LETTER NUMBER [OPTION] starts a stand-in engine on port 1830NUMBER.
start_engine() { start "engine-$1" "$BIN/standin" engine --Listen "127.0.0.1:1830$2" --Model menu-7b ${3:-}; }

# start_site starts the stand-ins and three entry instances, and waits until all three are members.
start_site() {
  start platform "$BIN/standin" platform --Listen 127.0.0.1:18001 --ReportTimeout 25s
  start_engine a 1 --ChecksFence
  start_engine b 2 --ChecksFence
  start_engine c 3
  start settlement-a "$BIN/standin" service --Listen 127.0.0.1:18401
  start_entry a
  start_entry b
  start_entry c
  wait_for_members 3
}

# wait_for_members COUNT waits until the addresses of COUNT entry instances are listed, for about 30 s at most.
wait_for_members() {
  local tries=0 count=0
  while [ "$tries" -lt 150 ]; do
    count=$("$BIN/coltsfootscale" addresses $ENTRIES 2>/dev/null | wc -l)
    [ "$count" -eq "$1" ] && return 0
    sleep 0.2
    tries=$((tries + 1))
  done
  echo "only $count of $1 entry instances joined; see $RUN" >&2
  return 1
}

# stop_site resumes and terminates all processes that still run, and kills those that have not ended after 10 s.
stop_site() {
  local pid
  for pid in $PIDS; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  local tries=0
  while [ "$tries" -lt 50 ] && any_running; do
    sleep 0.2
    tries=$((tries + 1))
  done
  for pid in $PIDS; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# any_running succeeds if any process started by start still runs.
any_running() {
  local pid
  for pid in $PIDS; do kill -0 "$pid" 2>/dev/null && return 0; done
  return 1
}
