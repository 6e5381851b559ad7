# Shared by the process tests: three hosts with the quick start's configuration. Sourced with script_name set.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. scripts/lib/cluster.sh
cluster_begin

# Starts the stand-in and the hosts a, b and c.
start_three() {
    start_standin 4 --services booking,proofs --service-ms 5 "$@"
    start_hosts a b c
    first_configuration examples/quickstart.toml
}

# Body of a batch task with the key $1 that runs for $2 ms.
batch_body() {
    printf '{"owner":"beta","key":"%s","kind":"batch","millicores":50,"mebibytes":16,"deadlineMs":120000,"runMs":%d,"program":"{\\"runMs\\":%d}"}' \
        "$1" "$2" "$2"
}

# Submits once through host $1; the body goes to $work/answer-$2, the status is printed, 000 without an answer.
try_submit() {
    curl -s -m 15 -o "$work/answer-$2" -w '%{http_code}' --data-binary "$(batch_body "$2" "$3")" \
        "http://${callers[$1]}/v1/tasks" || true
}

submitted() {
    [ "$(try_submit "$@")" = 200 ]
}

# Submits the key $2, again until it is accepted, through host $1, and prints the task.
submit_surely() {
    until_true 30 submitted "$@" || fail "host $1 never accepted $2: $(cat "$work/answer-$2" 2>/dev/null)"
    member task <"$work/answer-$2"
}

# Status of one call of the service proofs through host $1.
call_status() {
    curl -s -m 10 -o "$work/call-answer" -w '%{http_code}' -H 'Currantring-Owner: beta' -d "$2" \
        "http://${callers[$1]}/v1/services/proofs" || true
}

call_is_served() {
    [ "$(call_status "$1" "$2")" = 200 ] && grep -q "$2" "$work/call-answer"
}

succeeded() {
    state_is "$1" "$2" succeeded
}

# Each task of the words ended well, did so on one worker only, and never had two live attempts.
done_once() {
    local host=$1 task successes
    shift
    for task in "$@"; do
        until_true 40 succeeded "$host" "$task" || fail "task $task isn't done: $(ctl "$host" status "$task" | paste -sd' ')"
    done
    no_task_ran_twice
    for task in "$@"; do
        successes=$(grep -oE '\{[^{}]*\}' "$work/truth" | grep -F "\"task\":\"$task\"" | grep -c '"phase":"succeeded"' || true)
        [ "$successes" = 1 ] || fail "task $task was done $successes times: $(grep -oE '\{[^{}]*\}' "$work/truth" | grep -F "$task")"
    done
}

no_shard_of() {
    every_shard_has_writer "$1" && ! ctl "$1" status --json | grep -q "\"writer\":\"$2\""
}

writes_a_shard() {
    ctl "$1" status --json 2>/dev/null | grep -q "\"writer\":\"$2\""
}

log_has() {
    grep -q "event=$2" "$work/$1.log"
}

# Ends the processes and says that the test held.
finish_well() {
    stop_cluster
    echo "$script_name: ok"
}
