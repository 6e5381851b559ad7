#!/usr/bin/env bash
# A signal ends currantring-sited: its last line names the signal and the work under way, and its status is that signal's.
set -euo pipefail
cd "$(dirname "$0")/../.."
program=${CURRANTRING_BIN:-build/bin}/currantring-sited
work=$(mktemp -d)
pid=
cleanup() {
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
fail() {
    echo "site-crash: $1"
    cat "$work/log" 2>/dev/null || true
    exit 1
}
base=$((20000 + RANDOM % 10000))
cat >"$work/boot.toml" <<END
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "here"
region = "there"
portRange = [$base, $((base + 3))]
[listen]
front = "127.0.0.1:$((base + 4))"
ready = "127.0.0.1:$((base + 5))"
control = "127.0.0.1:$((base + 6))"
[platform]
address = "127.0.0.1:$((base + 7))"
[limits]
[bounds]
END
for signal in SEGV:11 ABRT:6; do
    "$program" --charts charts --boot "$work/boot.toml" --metrics-port $((base + 8)) >"$work/log" 2>&1 &
    pid=$!
    for _ in $(seq 100); do
        grep -q 'event=process_started' "$work/log" && break
        sleep 0.1
    done
    grep -q 'event=process_started' "$work/log" || fail "it didn't start"
    kill "-${signal%:*}" "$pid"
    status=0
    wait "$pid" || status=$?
    pid=
    [ "$status" = $((128 + ${signal#*:})) ] || fail "it ended with $status"
    grep -qE "event=process_crashed signal=${signal#*:} during=[a-z]+ subject=[^ ]+$" "$work/log" || fail "no line on the crash"
done
echo "site-crash: $(grep -o 'event=process_crashed.*' "$work/log")"
