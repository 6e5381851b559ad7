#!/usr/bin/env bash
# The lines of one job are found in the logs of a session with a takeover, in order, and no other job's.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
fail() {
    echo "trace-request: $1" >&2
    exit 1
}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
"$CURRANTRING_BIN/test-libjobs" --run_test=Events/aSessionWithATakeover | grep ' ts=' >"$log"
lines=$(scripts/trace-request 0000000000000001 "$log")
for event in job_accepted run_placed shard_claimed shard_active run_ended job_closed; do
    grep -q "event=$event" <<<"$lines" || fail "no $event line"
done
grep -q 0000000000000002 <<<"$lines" && fail "lines of another job"
times=$(grep -oE 'ts=[0-9]+' <<<"$lines")
[ "$times" = "$(sort -s <<<"$times")" ] || fail "the lines aren't in order"
[ "$(scripts/trace-request 0000000000000001 - <"$log")" = "$lines" ] || fail "standard input gives other lines"
scripts/trace-request ffffffffffffffff "$log" 2>/dev/null && fail "a job that nobody knows is found"
echo "trace-request: ok"
