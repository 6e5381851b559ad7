#!/usr/bin/env bash
# Bad input against running programs: a clear error, and nothing is lost.
script_name=bad-input
. "$(dirname "$0")/common.sh"
start_three

# --- Command lines ---------------------------------------------------------------------------------------------

# Row: name, expected exit code, pattern that the error has, command.
expect_exit() {
    local name=$1 expected=$2 pattern=$3 code=0
    shift 3
    timeout 20 "$@" >"$work/out" 2>&1 || code=$?
    [ "$code" = "$expected" ] || fail "$name: expected exit code $expected, saw $code: $(cat "$work/out")"
    grep -qE -- "$pattern" "$work/out" || fail "$name: expected $pattern, saw: $(cat "$work/out")"
    say "$name: $(head -n 1 "$work/out" | sed "s,$work/,,")"
}

daemon=("$bin/currantringd" --store "$store" --charts charts)
tool=("$bin/currantringctl" --server "${operators[a]}" --callers "${callers[a]}")
expect_exit "daemon, unknown flag" 2 'no-such-flag' "${daemon[@]}" --no-such-flag
expect_exit "daemon, two bad settings" 2 'connections' "${daemon[@]}" --connections none --body-bytes 7
[ "$(grep -cE 'connections|body-bytes' "$work/out")" -ge 2 ] || fail "not all findings were reported: $(cat "$work/out")"
expect_exit "daemon, port in use" 2 'in use' "${daemon[@]}" --listen-callers "${callers[a]}" \
    --listen-operators "${operators[a]}" --listen-peers "${peers[a]}"
expect_exit "tool, unknown flag" 2 'no-such-flag' "${tool[@]}" status --no-such-flag
expect_exit "tool, unknown command" 2 'expected a command' "${tool[@]}" start
choose_ports 1
expect_exit "tool, nobody listens" 3 '.' "$bin/currantringctl" --server "127.0.0.1:$base" status
sed 's/^scope = "owner:beta"/scope = "owner:nobody"/; s/^reason = .*/reason = ""/; s/^weight = 2/weight = "two"/' \
    examples/quickstart.toml >"$work/bad.toml"
expect_exit "declaration with several mistakes" 2 'bad.toml:[0-9]+:[0-9]+' "${tool[@]}" check "$work/bad.toml"
[ "$(grep -cE 'bad.toml:[0-9]+:[0-9]+' "$work/out")" -ge 3 ] || fail "not all findings were reported: $(cat "$work/out")"
expect_exit "the same, applied" 2 'bad.toml:[0-9]+:[0-9]+' "${tool[@]}" apply "$work/bad.toml" --author tests --against 1

# --- Bodies and headers ----------------------------------------------------------------------------------------

# Row: name, expected status, expected outcome, pattern that the body has, curl's arguments.
expect_status() {
    local name=$1 expected=$2 outcome=$3 pattern=$4 status
    shift 4
    status=$(curl -s -m 15 -o "$work/out" -w '%{http_code}' -D "$work/head" "$@" || true)
    [ "$status" = "$expected" ] || fail "$name: expected status $expected, saw $status: $(cat "$work/out")"
    grep -qi "^Currantring-Outcome: $outcome" "$work/head" || fail "$name: expected outcome $outcome: $(cat "$work/head")"
    grep -qE -- "$pattern" "$work/out" || fail "$name: expected $pattern, saw: $(cat "$work/out")"
    say "$name: $status $outcome $(cut -c1-120 "$work/out")"
}

tasks_at="http://${callers[a]}/v1/tasks"
services_at="http://${callers[a]}/v1/services"
good=$(batch_body good 100)
head -c 1200000 /dev/zero | tr '\0' x >"$work/oversized"
expect_status "malformed body" 400 invalid 'findings' -d '{"owner":' "$tasks_at"
expect_status "oversized body" 413 invalid '.*' --data-binary "@$work/oversized" "$tasks_at"
expect_status "unknown owner" 400 invalid '.' -d "${good/beta/nobody}" "$tasks_at"
expect_status "missing deadline" 400 invalid 'deadlineMs' -d "${good/\"deadlineMs\":120000,/}" "$tasks_at"
expect_status "impossible size" 400 invalid 'millicores' -d "${good/\"millicores\":50/\"millicores\":-1}" "$tasks_at"
expect_status "unknown service" 400 invalid '.' -H 'Currantring-Owner: beta' -d x "$services_at/nothing"
expect_status "unknown owner of a call" 400 invalid '.' -H 'Currantring-Owner: nobody' -d x "$services_at/proofs"
expect_status "missing owner of a call" 400 invalid 'Currantring-Owner' -d x "$services_at/proofs"
expect_status "bad time limit" 400 invalid 'Timeout' -H 'Currantring-Owner: beta' -H 'Currantring-Timeout-Ms: soon' -d x \
    "$services_at/proofs"
expect_status "unknown task" 404 not-found '.' "$tasks_at/0-nothing"

# --- Connections -----------------------------------------------------------------------------------------------

metric() {
    curl -s -m 10 "http://${operators[$1]}/metrics" | sed -n "s/^$2 //p" | head -n 1
}

hold_connections() {
    local number
    held=()
    for number in $(seq "$1"); do
        exec {descriptor}<>"/dev/tcp/${callers[e]%:*}/${callers[e]#*:}"
        held+=("$descriptor")
    done
}

release_connections() {
    local descriptor
    for descriptor in "${held[@]}"; do
        exec {descriptor}>&-
    done
}

turned_away() {
    [ "$(curl -s -m 10 -o "$work/out" -w '%{http_code}' "http://${callers[e]}/health")" = 503 ] \
        && grep -q 'connection-limit' "$work/out"
}

hosts+=(e)
start_host e --connections 4 --waiting-connections 0 --request-time 20000
await_host e --connections 4 --waiting-connections 0 --request-time 20000
until_true 20 is_healthy e || fail "host e isn't healthy"
hold_connections 4
until_true 10 turned_away || fail "a connection past the limit got: $(cat "$work/out")"
release_connections
until_true 20 call_is_served e room || fail "no service once the connections are free: $(cat "$work/call-answer")"
say "connections past the limit: turned away with not-run, served again once there is room"

# A caller that hangs up: its work is dropped, and the host goes on.
gone_callers() {
    local now
    now=$(metric a 'currantring_callers_gone{reason="hung-up"}')
    [ "${now:-0}" -gt "$1" ]
}
gone=$(metric a 'currantring_callers_gone{reason="hung-up"}')
timeout 0.5 curl -s -o /dev/null -H 'Currantring-Owner: beta' -d '{"serviceMs":1500}' "$services_at/proofs" || true
until_true 20 gone_callers "${gone:-0}" || fail "a caller that hung up wasn't noticed"
nobody_waits() {
    [ "$(metric a currantring_callers_waiting)" = 0 ]
}
until_true 20 nobody_waits || fail "a caller that hung up is still waited for"
until_true 10 call_is_served a next || fail "no service after a caller hung up: $(cat "$work/call-answer")"
say "a caller that hangs up: its answer is dropped, the next call is served"

# Peers that send garbage: bytes of no protocol or a broken frame, and that wait for the answer or hang up at once.
peer_host=${peers[a]%:*}
peer_port=${peers[a]#*:}
no_protocol() {
    head -c 4000 /dev/zero | tr '\0' x
}
# In one write: of several, the kernel drops what isn't sent yet when a connection is closed with unread bytes.
printf 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\377\377\377\004\000\000\000\000\000' >"$work/broken_frame"
broken_frame() {
    cat "$work/broken_frame"
}
heard_garbage() {
    [ "$(metric a currantring_peer_garbage)" = "$1" ]
}
counted=$(metric a currantring_peer_garbage)
for garbage in no_protocol broken_frame; do
    exec {descriptor}<>"/dev/tcp/$peer_host/$peer_port"
    "$garbage" >&"$descriptor"
    counted=$((counted + 1))
    until_true 10 heard_garbage "$counted" || fail "$garbage wasn't counted"
    exec {descriptor}>&-
    "$garbage" >"/dev/tcp/$peer_host/$peer_port"
    counted=$((counted + 1))
    until_true 10 heard_garbage "$counted" || fail "$garbage and a hang-up weren't counted"
done
is_healthy a || fail "host a isn't healthy after garbage"
until_true 10 call_is_served a after-garbage || fail "no service after garbage: $(cat "$work/call-answer")"
say "peers that send garbage: $counted counted, the host goes on"
for host in a b c e; do
    is_running "${pids[$host]}" || fail "host $host ended"
done
task=$(submit_surely a good 100)
done_once b "$task"
finish_well
