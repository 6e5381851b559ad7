#!/usr/bin/env bash
# Clients that send without an end, or never take the answers, don't exhaust the memory or the descriptors of
# currantring-sited, and an ordinary request is answered afterwards. Guards against buffers without a limit: four clients
# with endless trailer fields took a process from 3 MB to 1,279 MB.
#
# The clients and the bounds are fixed; neither depends on the machine's speed.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=${CURRANTRING_BIN:-build/bin}
work=$(mktemp -d)
pid=
# The bounds, which are also the limits in the settings.
memory_mb=64
peak_kb=$((memory_mb * 1024))
# A sanitizer's own memory (freed blocks that it keeps, its shadow) counts in the peak, so the bound is for builds without one.
[ -z "${CURRANTRING_SANITIZE:-}" ] || peak_kb=$((1 << 40))
descriptors=1024

cleanup() {
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

start() {
    local base=$((20000 + RANDOM % 10000))
    callers=127.0.0.1:$((base + 4)) readiness=127.0.0.1:$((base + 5)) metrics=127.0.0.1:$((base + 8))
    cat >"$work/boot.toml" <<END
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "here"
region = "there"
portRange = [$base, $((base + 3))]
[listen]
front = "$callers"
ready = "$readiness"
control = "127.0.0.1:$((base + 6))"
[platform]
address = "127.0.0.1:$((base + 7))"
[limits]
memoryMb = $memory_mb
maxFds = $descriptors
[bounds]
END
    # The line of the process before mustn't be taken for that of this one.
    rm -f "$work/log"
    "$bin/currantring-sited" --charts charts --boot "$work/boot.toml" --metrics-port $((base + 8)) >"$work/log" 2>&1 &
    pid=$!
    for _ in $(seq 100); do
        ! grep -qs 'event=process_started' "$work/log" || return 0
        sleep 0.1
    done
    return 1
}

start_on_free_ports() {
    for _ in $(seq 5); do
        ! start || return 0
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    cat "$work/log"
    echo "endless-clients: it didn't start"
    exit 1
}

end() {
    kill -TERM "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    pid=
}

# A process without a configuration answers each request of a caller with 503; an answer is what counts here.
answers() {
    local status
    for _ in $(seq 30); do
        status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' "$1" || true)
        [ "$status" = 000 ] || return 0
        sleep 1
    done
    return 1
}

memory_peak() {
    sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$pid/status"
}

failures=0
# Runs the clients of one case against a new process: case, port, connections, bytes of each, rounds.
attack() {
    local name=$1 address=$2 peak=0 open=0 now wrong=
    start_on_free_ports
    case $address in
    callers) address=$callers ;;
    readiness) address=$readiness ;;
    metrics) address=$metrics ;;
    esac
    "$bin/currantring-hostile-client" "$address" "$name" "$3" "$4" "$5" >"$work/client" &
    local client=$!
    while kill -0 "$client" 2>/dev/null; do
        now=$(ls "/proc/$pid/fd" 2>/dev/null | wc -l)
        [ "$now" -le "$open" ] || open=$now
        sleep 0.1
    done
    wait "$client"
    peak=$(memory_peak 2>/dev/null || true)
    if ! kill -0 "$pid" 2>/dev/null || [ -z "$peak" ]; then
        wrong="the process ended"
    elif [ "$peak" -gt "$peak_kb" ]; then
        wrong="more than $peak_kb kB"
    elif [ "$open" -gt "$descriptors" ]; then
        wrong="more than $descriptors descriptors"
    elif [ "$name" != silence ] && grep -q ' sent 0 bytes' "$work/client"; then
        wrong="no client reached it"
    elif ! answers "http://$callers/" || ! answers "http://$readiness/" || ! answers "http://$metrics/metrics"; then
        wrong="no answer afterwards"
    fi
    echo "  $2 $(cat "$work/client"); peak ${peak:-?} kB, $open descriptors: ${wrong:-ok}"
    [ -z "$wrong" ] || failures=$((failures + 1))
    end
}

endless=67108864
for name in trailers trailer-value chunk-size chunk-extension chunk-extensions chunks request-line header-value header-fields; do
    attack "$name" callers 4 "$endless" 3
done
for name in half-body half-header length-only silence; do
    attack "$name" callers 450 0 1
done
attack pipelined callers 450 1048576 1
attack unread callers 450 0 1
attack unread metrics 32 0 1
attack trailers metrics 4 "$endless" 3
attack trailers readiness 4 "$endless" 3
attack half-body readiness 32 0 1
[ "$failures" = 0 ] || {
    echo "endless-clients: $failures cases failed"
    exit 1
}
echo "endless-clients: ok"
