#!/usr/bin/env bash
# Connections that are accepted and never answered: the store as a whole for a while, and all that are open at one moment.
script_name=silent-connections
. "$(dirname "$0")/common.sh"
start_three
first=$(submit_surely a before 100)
done_once a "$first"
until_true 20 call_is_served a warm || fail "no service before the fault"
fault '{"fault":"silentStore","on":true}'
until_true 20 call_is_served b while-silent || fail "a service isn't served while the store is silent: $(cat "$work/call-answer")"
say "the store is silent: services are served"
status=$(try_submit a silent 100)
if [ "$status" = 200 ]; then
    fail "a task was accepted while the store is silent"
fi
grep -qE '"outcome":"(not-run|not-yet-known)"' "$work/answer-silent" \
    || fail "a submission got $status: $(cat "$work/answer-silent")"
say "a submission gets $(member outcome <"$work/answer-silent")"
fault '{"fault":"silentStore","on":false}'
second=$(submit_surely a silent 100)
done_once a "$first" "$second"
say "the store answers again: the same submission is accepted and done once"
fault '{"fault":"silentConnections"}'
until_true 30 call_is_served a fresh || fail "no service over fresh connections: $(cat "$work/call-answer")"
third=$(submit_surely b after 100)
done_once c "$first" "$second" "$third"
await_healthy a b c
say "all open connections went silent: fresh ones took their place"
finish_well
