#!/usr/bin/env bash
# The clients of endless-clients.sh against currantringd: its memory and its descriptors stay under the bounds, and a
# call is served afterwards. Guards against buffers and threads that grow with what clients send or don't read.
script_name=endless-clients-daemon
. "$(dirname "$0")/common.sh"
# The bounds. The daemon has a thread for each connection and room for 1,000,000 bytes of body on each.
memory_kb=131072
# A sanitizer's own memory (freed blocks that it keeps, its shadow) counts in the peak, so the bound is for builds without one.
[ -z "${CURRANTRING_SANITIZE:-}" ] || memory_kb=$((1 << 40))
descriptors=1024
start_standin 4 --services booking,proofs --service-ms 5
hosts+=(a)
start_host a
await_host a
first_configuration examples/quickstart.toml
until_true 30 call_is_served a before || fail "no service before the clients came"

failures=0
attack() {
    local name=$1 address=$2 peak open=0 now wrong= client
    "$bin/currantring-hostile-client" "$address" "$name" "$3" "$4" "$5" >"$work/client" &
    client=$!
    while kill -0 "$client" 2>/dev/null; do
        now=$(ls "/proc/${pids[a]}/fd" 2>/dev/null | wc -l)
        [ "$now" -le "$open" ] || open=$now
        sleep 0.1
    done
    wait "$client"
    is_running "${pids[a]}" || fail "$name: the process ended"
    peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${pids[a]}/status")
    if [ "$peak" -gt "$memory_kb" ]; then
        wrong="more than $memory_kb kB"
    elif [ "$open" -gt "$descriptors" ]; then
        wrong="more than $descriptors descriptors"
    elif [ "$name" != silence ] && grep -q ' sent 0 bytes' "$work/client"; then
        wrong="no client reached it"
    elif ! until_true 60 call_is_served a "after-$name"; then
        wrong="no service afterwards"
    fi
    say "$(cat "$work/client"); peak $peak kB, $open descriptors: ${wrong:-ok}"
    [ -z "$wrong" ] || failures=$((failures + 1))
}

endless=67108864
for name in trailers trailer-value chunk-size chunk-extension chunk-extensions chunks request-line header-value header-fields; do
    attack "$name" "${callers[a]}" 4 "$endless" 3
done
for name in half-body half-header length-only silence; do
    attack "$name" "${callers[a]}" 200 0 1
done
attack pipelined "${callers[a]}" 200 1048576 1
attack unread "${callers[a]}" 200 0 1
attack unread "${operators[a]}" 200 0 1
attack trailers "${operators[a]}" 4 "$endless" 3
[ "$failures" = 0 ] || fail "$failures cases failed"
finish_well
