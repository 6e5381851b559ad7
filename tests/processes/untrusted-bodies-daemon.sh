#!/usr/bin/env bash
# Bodies that become large don't exhaust the memory of currantringd, and a call is served afterwards. Guards against
# documents and findings that take many times the bytes of the body, on all connections at once.
script_name=untrusted-bodies-daemon
. "$(dirname "$0")/common.sh"
# The bound, as in endless-clients-daemon.sh: a thread and room for 1,000,000 bytes of body for each of 64 connections.
memory_kb=131072
# A sanitizer's own memory (freed blocks that it keeps, its shadow) counts in the peak, so the bound is for builds without one.
[ -z "${CURRANTRING_SANITIZE:-}" ] || memory_kb=$((1 << 40))
start_standin 4 --services booking,proofs --service-ms 5
hosts+=(a)
start_host a
await_host a
first_configuration examples/quickstart.toml
until_true 30 call_is_served a before || fail "no service before the clients came"

failures=0
for name in task-objects task-members task-levels task-text; do
    wrong=
    "$bin/currantring-crowd-client" "${callers[a]}" "$name" 64 4 0 /v1/tasks >"$work/crowd"
    is_running "${pids[a]}" || fail "$name: the process ended"
    peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${pids[a]}/status")
    [ "$peak" -le "$memory_kb" ] || wrong="more than $memory_kb kB"
    [ -n "$wrong" ] || until_true 60 call_is_served a "after-$name" || wrong="no service afterwards"
    say "$(cat "$work/crowd"); peak $peak kB: ${wrong:-ok}"
    [ -z "$wrong" ] || failures=$((failures + 1))
done
[ "$failures" = 0 ] || fail "$failures cases failed"
finish_well
