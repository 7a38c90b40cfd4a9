# Functions that the scripts in this folder share: they start and stop the
# processes of one fleet on loopback, one process per role. Source this file and
# call build once.
bin=""
pids=()
declare -A pid_of

build() {
  work=$(mktemp -d)
  bin="$work/citrondeck"
  go build -o "$bin" .
  trap 'stop_all; [ -n "${KEEP_LOG:-}" ] && cp "$work/log" "$KEEP_LOG"; rm -rf "$work"' EXIT
}

# start NAME ARGS...: run citrondeck ARGS in the background.
start() {
  local name=$1; shift
  "$bin" "$@" 2>>"$work/log" &
  pids+=($!); pid_of[$name]=$!
}

# start_kv: start the KV stand-in, which also serves the instance list, and wait
# until it answers.
start_kv() {
  start kv kv --listen 127.0.0.1:7000 --instance-lag "${LAG:-1s}"
  until curl -sf http://127.0.0.1:7000/debug/vars >/dev/null; do sleep 0.05; done
}

# start_backends FLEET: start every engine and plain upstream of the fleet text.
start_backends() {
  local kind name addr zone layers cap
  # A process left over on one of the addresses would answer instead of the one
  # started here.
  while read -r kind name addr zone layers cap; do
    if curl -s -o /dev/null --max-time 0.2 "http://$addr/"; then echo "$addr is in use" >&2; return 1; fi
    if [ "$kind" = model ]; then
      start "$name" engine --name "$name" --listen "$addr" --zone "$zone" --layers "$layers" --capacity "$cap"
    else
      start "$name" plain --name "$name" --listen "$addr" --zone "$zone"
    fi
  done < <("$bin" check -f "$1" --list | sort -u -k2,2)
}

# start_entries N FLEET: start N entries, assigned to the fleet's zones in turn,
# and wait until the first entry lists at least N. A discovery response has at most
# 12 entries, so a larger N waits forever.
start_entries() {
  local n=$1 zones i
  zones=($(grep '^zones:' "$2" | tr -d '[],' | cut -d: -f2))
  for i in $(seq "$n"); do
    start "entry-$i" entry --name "entry-$i" --listen "127.0.0.1:$((8080 + i))" --zone "${zones[$(((i - 1) % ${#zones[@]}))]}"
  done
  until [ "$(curl -s http://127.0.0.1:8081/v1/entries | grep -o '"addr"' | wc -l)" -ge "$n" ]; do sleep 0.05; done
}

# var PORT NAME: print one number from the metrics of the entry on PORT.
var() { curl -s "http://127.0.0.1:$1/debug/vars" | tr -d ' \n' | grep -o "\"$2\":[0-9]*" | head -1 | cut -d: -f2; }

# cpu_ticks PID: print the CPU time used, in clock ticks. rss_kb PID: print the
# resident memory in kB. Both read /proc.
cpu_ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }

stop_all() {
  local p
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -TERM "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=(); pid_of=()
}
