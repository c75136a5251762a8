#!/usr/bin/env bash
# Measures the overhead of the request path: latency compared with direct calls in
# the same run, CPU time per request of entry and agent, idle memory and startup
# time. It starts only the processes that the measurements need.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=$PWD/bin
OUT=$PWD/out/path
REQUESTS=${PATH_REQUESTS:-20000}
declare -A PID

cleanup() {
    trap - EXIT INT TERM
    for p in "${PID[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() { # name
    local line
    line=$(grep "^$1 " "$OUT/processes")
    read -r -a words <<<"${line#* }"
    "$BIN/${words[0]}" "${words[@]:1}" >>"$OUT/log/$1.log" 2>&1 &
    PID[$1]=$!
}

tool() { "$BIN/merlinhall" --control 127.0.1.1:7001,127.0.1.2:7001,127.0.1.3:7001 "$@"; }

# CPU time of a process in clock ticks of 10 ms.
ticks() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }

memory() { awk '/VmRSS/ {printf "%.1f MB", $2 / 1024}' "/proc/${PID[$1]}/status"; }

ready() { # admin address
    until curl -sf "http://$1/readyz" >/dev/null; do sleep 0.01; done
}

rm -rf "$OUT"
"$BIN/merlinhall" demo files --dir "$OUT"
sed -i 's/--record [^ ]*/--work 0s/' "$OUT/processes"
for p in budget-svc-0 control-1 control-2 control-3; do start "$p"; done
tool status --wait 15s >/dev/null
tool apply --author path "$OUT/config-1.toml" >/dev/null
t0=$(date +%s%3N)
start agent-budget-svc-0
ready 127.0.3.7:7001
t1=$(date +%s%3N)
start entry-1
ready 127.0.2.1:7001
t2=$(date +%s%3N)
sleep 2
echo "startup until ready: agent $((t1 - t0)) ms, entry $((t2 - t1)) ms"
echo "idle memory: agent $(memory agent-budget-svc-0), entry $(memory entry-1), control $(memory control-1)"
e0=$(ticks entry-1)
a0=$(ticks agent-budget-svc-0)
"$BIN/merlinhall" bench path --requests "$REQUESTS" --concurrency "${PATH_CONCURRENCY:-8}"
e1=$(ticks entry-1)
a1=$(ticks agent-budget-svc-0)
echo "CPU time per request: entry $(((e1 - e0) * 10000 / REQUESTS)) us, agent $(((a1 - a0) * 10000 / REQUESTS)) us"
