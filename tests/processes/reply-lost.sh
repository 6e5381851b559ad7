#!/usr/bin/env bash
# Replies are lost after the write or the command took effect: nothing is done twice, and no change is made twice.
script_name=reply-lost
. "$(dirname "$0")/common.sh"
start_three
tasks=()
for number in $(seq 8); do
    fault '{"fault":"loseReply","count":1,"keyPrefix":"ledger/"}'
    fault "{\"fault\":\"loseReply\",\"count\":1,\"worker\":\"w$((number % 4))\"}"
    host=a
    [ $((number % 2)) = 0 ] || host=b
    task=$(submit_surely "$host" "lost-$number" 200)
    again=$(submit_surely c "lost-$number" 200)
    [ "$again" = "$task" ] || fail "the same key gave the tasks $task and $again"
    tasks+=("$task")
done
done_once a "${tasks[@]}"
say "eight tasks with lost replies of the store and the workers: each done once"
sed 's/^value = 6/value = 7/' examples/quickstart.toml >"$work/next.toml"
fault '{"fault":"loseReply","count":1,"keyPrefix":"configuration"}'
applied() {
    ctl b apply "$work/next.toml" --author operations --against 1 --change once >"$work/applied"
}
until_true 20 applied || fail "the change isn't settled: $(cat "$work/applied")"
say "$(cat "$work/applied")"
shows_version() {
    ctl "$1" show 2>/dev/null | grep -qx "version: $2"
}
for host in a b c; do
    until_true 10 shows_version "$host" 2 || fail "version 2 isn't in force at host $host"
done
[ "$(curl -s "http://$store/v1/kv?prefix=configuration/history/" | grep -oE '"key":' | wc -l)" -le 2 ] \
    || fail "the change was made twice"
say "a change with a lost reply is version 2 everywhere, once"
finish_well
