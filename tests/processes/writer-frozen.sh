#!/usr/bin/env bash
# A shard writer is frozen past its lease and woken: others take over, and it doesn't act on what it no longer writes.
script_name=writer-frozen
. "$(dirname "$0")/common.sh"
start_three
until_true 20 writes_a_shard a b || fail "host b writes no shard"
tasks=()
for number in $(seq 10); do
    tasks+=("$(submit_surely a "before-$number" 2000)")
done
kill -STOP "${pids[b]}"
until_true 30 no_shard_of a b || fail "the shards of host b weren't taken over"
say "host b frozen, its shards have other writers"
for number in $(seq 10); do
    tasks+=("$(submit_surely c "frozen-$number" 300)")
done
kill -CONT "${pids[b]}"
until_true 30 log_has b "\(host_lease_lapsed\|shard_lost\)" || fail "host b didn't notice that it lost its shards"
until_true 30 is_healthy b || fail "host b isn't healthy again: $(health b)"
say "host b woken: it lost its shards and is healthy again"
for number in $(seq 10); do
    tasks+=("$(submit_surely b "woken-$number" 300)")
done
done_once a "${tasks[@]}"
say "all 30 tasks done once"
finish_well
