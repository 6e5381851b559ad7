# Starts and stops a stand-in of the platform and entry hosts on loopback; sourced by bash scripts.
#
# The script that sources it runs at the root of the tree, sets script_name, and calls cluster_begin first. Ports are
# chosen at start among those that nobody listens on. Only processes that the script started are ended, by their ids.

bin=${CURRANTRING_BIN:-build/bin}
declare -A pids=() callers=() operators=() peers=()
hosts=()
store=
worker_base=

cluster_begin() {
    work=$(mktemp -d)
    trap cluster_finish EXIT
    trap 'exit 130' INT TERM
}

fail() {
    echo "$script_name: $*" >&2
    exit 1
}

say() {
    echo "  $*"
}

# Repeats a command until it succeeds, for at most $1 seconds.
until_true() {
    local until=$((SECONDS + $1))
    shift
    while ! "$@"; do
        [ "$SECONDS" -lt "$until" ] || return 1
        sleep 0.1
    done
}

is_running() {
    kill -0 "$1" 2>/dev/null && ! grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null
}

has_ended() {
    ! is_running "$1"
}

# Ends the process named $1, at first by asking it.
stop_process() {
    local pid=${pids[$1]:-}
    [ -n "$pid" ] || return 0
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
    until_true 15 has_ended "$pid" || kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    unset "pids[$1]"
}

# Ends all processes of the cluster, all at the same time, and forgets the hosts.
stop_cluster() {
    local name
    for name in "${!pids[@]}"; do
        [ "$name" != standin ] || continue
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -TERM "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        [ "$name" = standin ] || stop_process "$name"
    done
    stop_process standin
    hosts=()
    callers=() operators=() peers=()
}

cluster_finish() {
    local code=$?
    trap - EXIT INT TERM
    set +e
    if [ "$code" -ne 0 ]; then
        local log
        for log in "$work"/*.log; do
            [ -f "$log" ] || continue
            echo "--- last lines of $(basename "$log")"
            tail -n 15 "$log"
        done
        echo "$script_name: failed"
    fi
    stop_cluster
    rm -rf "$work"
    exit "$code"
}

# --- Ports -----------------------------------------------------------------------------------------------------

port_is_free() {
    ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Sets base to the first of $1 ports in a row that nobody listens on.
choose_ports() {
    local port
    for _ in $(seq 50); do
        base=$((10000 + RANDOM % 20000))
        for port in $(seq "$base" $((base + $1 - 1))); do
            port_is_free "$port" || continue 2
        done
        return 0
    done
    fail "found no free ports"
}

# --- Programs --------------------------------------------------------------------------------------------------

answers() {
    curl -s -m 5 -o /dev/null "http://$1"
}

answers_or_ended() {
    answers "$2" || has_ended "$1"
}

# Starts the stand-in with $1 workers and the further flags; a port that another took meanwhile is chosen anew.
start_standin() {
    local workers=$1
    shift
    for _ in $(seq 5); do
        choose_ports $((workers + 1))
        store=127.0.0.1:$base
        worker_base=$((base + 1))
        "$bin/currantring-standin" --listen "$store" --workers "$workers" --worker-base-port "$worker_base" "$@" \
            >"$work/standin.log" 2>&1 &
        pids[standin]=$!
        until_true 30 answers_or_ended "${pids[standin]}" "$store/v1/counts" || fail "the stand-in doesn't answer"
        is_running "${pids[standin]}" && return 0
        unset 'pids[standin]'
    done
    fail "the stand-in didn't start"
}

# Starts the host $1 with further flags; await_host follows.
start_host() {
    local host=$1
    shift
    choose_ports 3
    callers[$host]=127.0.0.1:$base
    operators[$host]=127.0.0.1:$((base + 1))
    peers[$host]=127.0.0.1:$((base + 2))
    "$bin/currantringd" --host-id "$host" --store "$store" --charts charts --listen-callers "${callers[$host]}" \
        --listen-operators "${operators[$host]}" --listen-peers "${peers[$host]}" "$@" >>"$work/$host.log" 2>&1 &
    pids[$host]=$!
}

# Waits until the host $1 answers at its operators' address; one whose port was taken meanwhile is started anew.
await_host() {
    local host=$1
    shift
    for _ in $(seq 5); do
        until_true 30 answers_or_ended "${pids[$host]}" "${operators[$host]}/health" || fail "host $host doesn't answer"
        is_running "${pids[$host]}" && return 0
        start_host "$host" "$@"
    done
    fail "host $host didn't start"
}

# Starts the hosts named by the words.
start_hosts() {
    local host
    for host in "$@"; do
        hosts+=("$host")
        start_host "$host"
    done
    for host in "$@"; do
        await_host "$host"
    done
}

# Runs currantringctl through the entry host $1.
ctl() {
    local host=$1
    shift
    "$bin/currantringctl" --server "${operators[$host]}" --callers "${callers[$host]}" "$@"
}

health() {
    curl -s -m 5 "http://${operators[$1]}/health" || true
}

is_healthy() {
    curl -sf -m 5 -o /dev/null "http://${operators[$1]}/health"
}

is_unhealthy() {
    [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://${operators[$1]}/health")" = 503 ]
}

await_healthy() {
    local host
    for host in "$@"; do
        until_true 30 is_healthy "$host" || fail "host $host isn't healthy: $(health "$host")"
    done
}

every_shard_has_writer() {
    local status
    status=$(ctl "$1" status --json 2>/dev/null) || return 1
    ! grep -q '"writer":""' <<<"$status" && grep -q '"writer":"' <<<"$status"
}

await_writers() {
    local host
    for host in "$@"; do
        until_true 30 every_shard_has_writer "$host" || fail "shards without writer at host $host"
    done
}

# Puts the first configuration in force, the file $1, and waits until all hosts serve with it.
first_configuration() {
    ctl "${hosts[0]}" apply "$1" --author "$script_name" --against 0 --change first >/dev/null \
        || fail "the first configuration wasn't accepted"
    await_healthy "${hosts[@]}"
    await_writers "${hosts[@]}"
}

# Throws a fault at the stand-in; $1 is the JSON of docs/platform-protocol.md.
fault() {
    curl -sf -m 10 -o /dev/null --data-binary "$1" "http://$store/v1/faults" || fail "the stand-in refused the fault $1"
}

truth() {
    curl -sf -m 20 "http://$store/v1/truth"
}

# --- Tasks -----------------------------------------------------------------------------------------------------

# Value of the member $1 in the JSON on standard input, at any depth, the first one.
member() {
    { grep -oE "\"$1\":(\"[^\"]*\"|[0-9]+)" || true; } | head -n 1 | sed -E "s/^\"$1\"://; s/^\"(.*)\"\$/\1/"
}

task_member() {
    ctl "$1" status "$2" --json 2>/dev/null | member "$3" || true
}

state_is() {
    [ "$(task_member "$1" "$2" state)" = "$3" ]
}

# Host that writes the shard $2 as the host $1 sees it.
writer_of() {
    { ctl "$1" status --json 2>/dev/null || true; } | { grep -oE "\"shard\":$2,\"writer\":\"[^\"]*\"" || true; } \
        | sed -E 's/.*"writer":"(.*)"/\1/'
}

# How many attempts of the task $1 the workers began.
runs_of() {
    truth | { grep -oE "\"task\":\"$1\"" || true; } | wc -l
}

no_task_ran_twice() {
    truth >"$work/truth"
    grep -q '"doubledTasks":\[\]' "$work/truth" || fail "a task had two live attempts: $(cut -c1-300 "$work/truth")"
}
