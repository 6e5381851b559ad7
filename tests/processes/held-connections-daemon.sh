#!/usr/bin/env bash
# The clients of held-connections.sh against currantringd: connections that send a request now and then don't keep other
# callers from it. Guards against connections that hold a thread for as long as they like.
#
# While the crowd goes on, one of forty ordinary calls has to be served; how many is not looked at.
script_name=held-connections-daemon
. "$(dirname "$0")/common.sh"
start_standin 4 --services booking,proofs --service-ms 5
hosts+=(a)
start_host a
await_host a
first_configuration examples/quickstart.toml
until_true 30 call_is_served a before || fail "no service before the clients came"

"$bin/currantring-crowd-client" "${callers[a]}" get 512 1000 200 >"$work/crowd" &
crowd=$!
sleep 3
served=
for count in $(seq 40); do
    ! call_is_served a "beside-$count" || served=yes
    [ -z "$served" ] || break
done
kill -KILL "$crowd" 2>/dev/null || true
wait "$crowd" 2>/dev/null || true
is_running "${pids[a]}" || fail "the process ended"
[ -n "$served" ] || fail "no call was served beside 512 connections"
until_true 60 call_is_served a afterwards || fail "no service afterwards"
finish_well
