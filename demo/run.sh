#!/usr/bin/env bash
# Runs the demo: starts all processes on loopback addresses, injects faults with
# signals, checks the records and prints the report as one JSON line. The first
# argument is the scenario: "faults" (default) or "rolling" (a rolling restart).
# The script starts the processes because merlinhall processes never start others.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=$PWD/bin
OUT=$PWD/out/demo
SCALE=${DEMO_SECONDS:-40} # duration of the load in seconds
declare -A PID

now_ms() { date +%s%3N; }
START=$(now_ms)
say() { printf '%5d ms  %s\n' $(($(now_ms) - START)) "$*"; }

start() { # name
    local line
    line=$(grep "^$1 " "$OUT/processes")
    read -r -a words <<<"${line#* }"
    "$BIN/${words[0]}" "${words[@]:1}" >>"$OUT/log/$1.log" 2>&1 &
    PID[$1]=$!
}

# Terminates the started processes by pid. SIGCONT comes first because a stopped
# process doesn't handle SIGTERM.
cleanup() {
    trap - EXIT INT TERM
    set +e
    for p in "${PID[@]}"; do kill -CONT "$p" 2>/dev/null || true; done
    for p in "${PID[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
    for _ in $(seq 50); do
        local alive=0
        for p in "${PID[@]}"; do kill -0 "$p" 2>/dev/null && alive=1; done
        [ "$alive" = 0 ] && break
        sleep 0.1
    done
    for p in "${PID[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# Kills a process with SIGKILL and waits for its exit.
crash() {
    kill -KILL "${PID[$1]}"
    wait "${PID[$1]}" 2>/dev/null || true
    unset "PID[$1]"
}

# Drains and terminates a process with SIGTERM and waits for its exit.
finish() {
    kill -TERM "${PID[$1]}"
    wait "${PID[$1]}" 2>/dev/null || true
    unset "PID[$1]"
}

# DEMO_TLS=1 enables TLS and tokens for all links, callers and operators.
TLS=() OPERATOR=() TRAINER=() FILES=()
if [ -n "${DEMO_TLS:-}" ]; then
    TLS=(--ca "$OUT/ca.pem")
    OPERATOR=(--token-file "$OUT/operator.token")
    TRAINER=(--token-file "$OUT/trainer.token")
    FILES=(--tls)
fi

tool() { "$BIN/merlinhall" "${TLS[@]}" "${OPERATOR[@]}" --control 127.0.1.1:7001,127.0.1.2:7001,127.0.1.3:7001 "$@"; }

apply() { # file version
    tool apply --author demo "$OUT/$1" >"$OUT/log/apply-$2.log"
    echo "{\"at\":$(now_ms),\"version\":$2}" >>"$OUT/record/accepted.jsonl"
}

leader() { tool status --output json | grep -o '"leader": *"[^"]*"' | head -1 | cut -d'"' -f4; }

rm -rf "$OUT"
mkdir -p "$OUT/record"
touch "$OUT/record/drained.jsonl"
"$BIN/merlinhall" demo files --dir "$OUT" "${FILES[@]}"
say "starting $(wc -l <"$OUT/processes") processes"
while read -r name _; do start "$name"; done <"$OUT/processes"
tool status --wait 15s >/dev/null
say "control elected a leader: $(leader)"
apply config-1.toml 1
tool apply --author demo --wait 10s "$OUT/config-1.toml" >/dev/null
say "configuration 1 is in force"

"$BIN/merlinhall" demo watch --dir "$OUT" "${TLS[@]}" & PID[watch]=$!
declare -A POOL=([approver]=policy-lm [auditor]=audit-lm)
for t in approver auditor; do
    "$BIN/merlinhall" standin trainer "${TLS[@]}" "${TRAINER[@]}" --name "$t" --pool "${POOL[$t]}" --store 127.0.5.1:9000 --entries 127.0.2.1:8080,127.0.2.2:8080 \
        --record "$OUT/record/trainer-$t.jsonl" --state "$OUT/data/trainer-$t" >>"$OUT/log/trainer-$t.log" 2>&1 &
    PID[trainer-$t]=$!
done
for c in buyers reviewers; do
    "$BIN/merlinhall" standin caller "${TLS[@]}" --name "$c" --entries 127.0.2.1:8080,127.0.2.2:8080 \
        --ready 127.0.2.1:7001,127.0.2.2:7001 --service budget-svc --pool policy-lm --key "demo-key-$c" --record "$OUT/record/caller-$c.jsonl" >>"$OUT/log/caller-$c.log" 2>&1 &
    PID[caller-$c]=$!
done
say "callers and trainers are running"

# Sleeps for $1 sixteenths of the load duration.
pause() {
    local ms=$((SCALE * 1000 * $1 / 16))
    sleep "$((ms / 1000)).$(printf '%03d' $((ms % 1000)))"
}

# Injects one fault after the other.
faults() {
    pause 2
    apply config-2.toml 2
    say "configuration 2 accepted"
    pause 1
    crash agent-policy-lm-2
    say "killed agent-policy-lm-2"
    pause 1
    start agent-policy-lm-2
    pause 1
    crash policy-lm-1
    say "killed engine policy-lm-1"
    pause 1
    start policy-lm-1
    pause 1
    old=$(leader)
    crash "$old"
    say "killed control leader $old"
    pause 1
    say "new control leader: $(leader)"
    start "$old"
    pause 1
    kill -STOP "${PID[entry-2]}"
    say "stopped entry-2 with SIGSTOP"
    pause 1
    kill -CONT "${PID[entry-2]}"
    say "resumed entry-2 with SIGCONT"
    pause 1
    tool drain policy-lm-3 >/dev/null
    echo "{\"at\":$(now_ms),\"target\":\"policy-lm-3\"}" >>"$OUT/record/drained.jsonl"
    say "draining policy-lm-3"
    pause 1
    apply config-3.toml 3
    say "configuration 3 accepted"
    pause 2
}

# Restarts control, entry and agent processes with SIGTERM, one at a time.
rolling() {
    local name
    pause 1
    for name in control-1 control-2 control-3 entry-1 entry-2 $(grep -o '^agent-[^ ]*' "$OUT/processes"); do
        finish "$name"
        start "$name"
        sleep 1.5
        say "restarted $name"
    done
}

"${1:-faults}"
for c in buyers reviewers; do kill -TERM "${PID[caller-$c]}"; done
for c in buyers reviewers; do wait "${PID[caller-$c]}" || true; unset "PID[caller-$c]"; done
for t in approver auditor; do finish "trainer-$t"; done
finish watch
say "stopped callers and trainers"
"$BIN/merlinhall" demo report --dir "$OUT"
