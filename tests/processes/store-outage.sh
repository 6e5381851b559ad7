#!/usr/bin/env bash
# The store refuses everything for a while: services and running tasks go on, nothing new starts, nothing is lost.
script_name=store-outage
. "$(dirname "$0")/common.sh"
start_three
accepted=()
for number in $(seq 6); do
    accepted+=("$(submit_surely a "before-$number" 100)")
done
long=$(submit_surely b long 4000)
until_true 20 state_is a "$long" running || fail "the long task doesn't run"
until_true 20 call_is_served a warm || fail "no service before the outage"
fault '{"fault":"outage","on":true}'
until_true 20 grep -q 'event=store_unreachable' "$work/a.log" || fail "host a doesn't say that the store is away"
for number in $(seq 20); do
    call_is_served a "during-$number" || fail "call $number during the outage got: $(cat "$work/call-answer")"
done
say "20 calls served during the outage"
status=$(try_submit a during 100)
[ "$status" = 503 ] || fail "a submission during the outage got $status: $(cat "$work/answer-during")"
grep -qE '"outcome":"(not-run|not-yet-known)"' "$work/answer-during" || fail "a submission got: $(cat "$work/answer-during")"
outcome=$(member outcome <"$work/answer-during")
say "a submission gets $outcome"
fault '{"fault":"outage","on":false}'
until_true 30 every_shard_has_writer a || fail "shards without writer after the outage"
for task in "${accepted[@]}" "$long"; do
    until_true 30 ctl a status "$task" >/dev/null || fail "an accepted task is gone: $task"
done
say "what was accepted is there"
again=$(submit_surely c during 100)
done_once b "${accepted[@]}" "$long" "$again"
[ "$(runs_of "$long")" = 1 ] || fail "the long task was started again"
say "the long task went on through the outage, all done once"
finish_well
