#!/usr/bin/env bash
# A host starts while the store can't be reached: it waits, says so, isn't healthy, and serves once the store is there.
script_name=start-without-store
. "$(dirname "$0")/common.sh"
choose_ports 5
first=$base
store=127.0.0.1:$first
start_hosts a
until_true 20 grep -q 'event=store_unreachable' "$work/a.log" || fail "host a doesn't say that it can't reach the store"
is_unhealthy a || fail "host a calls itself healthy without a store: $(health a)"
is_running "${pids[a]}" || fail "host a ended"
status=$(try_submit a early 100)
[ "$status" = 503 ] && grep -qE '"outcome":"(not-run|not-yet-known)"' "$work/answer-early" \
    || fail "a submission got $status: $(cat "$work/answer-early")"
say "without a store: $(health a), a submission gets $(member outcome <"$work/answer-early")"
"$bin/currantring-standin" --listen "$store" --workers 4 --worker-base-port $((first + 1)) --services booking,proofs \
    >"$work/standin.log" 2>&1 &
pids[standin]=$!
until_true 20 answers_or_ended "${pids[standin]}" "$store/v1/counts" || fail "the stand-in doesn't answer"
is_running "${pids[standin]}" || fail "the stand-in ended"
until_true 30 grep -q 'event=store_reached' "$work/a.log" || fail "host a doesn't say that it reached the store"
is_unhealthy a || fail "host a calls itself healthy without a configuration"
first_configuration examples/quickstart.toml
task=$(submit_surely a early 100)
done_once a "$task"
say "with the store and a configuration: $(health a), the same submission is done once"
fault '{"fault":"outage","on":true}'
start_hosts d
until_true 20 grep -q 'event=store_unreachable' "$work/d.log" || fail "host d doesn't say that it can't reach the store"
is_unhealthy d || fail "host d calls itself healthy without a configuration"
fault '{"fault":"outage","on":false}'
until_true 30 is_healthy d || fail "host d isn't healthy after the outage: $(health d)"
say "a host that started in an outage became healthy after it"
finish_well
