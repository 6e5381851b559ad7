#!/usr/bin/env bash
# A shard writer is killed during starts: each task is done once, and its shards have other writers.
script_name=writer-killed
. "$(dirname "$0")/common.sh"
start_three
until_true 20 writes_a_shard a b || fail "host b writes no shard"
tasks=()
for number in $(seq 30); do
    host=a
    [ $((number % 2)) = 0 ] || host=c
    [ "$number" != 12 ] || { kill -KILL "${pids[b]}"; wait "${pids[b]}" 2>/dev/null || true; unset 'pids[b]'; }
    tasks+=("$(submit_surely "$host" "killed-$number" 300)")
done
say "30 tasks accepted, host b killed after the eleventh"
until_true 30 no_shard_of a b || fail "the shards of host b weren't taken over"
done_once a "${tasks[@]}"
say "all done once"
finish_well
