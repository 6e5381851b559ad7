# Shared by the process tests of untrusted clients of currantring-sited: its hosts beside a stand-in of the platform.
# Sourced with script_name set.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=${CURRANTRING_BIN:-build/bin}
work=$(mktemp -d)
pids=()
standin=
# The bounds, which are also the limits in the settings.
memory_mb=64
descriptors=1024

cleanup() {
    for pid in "${pids[@]}" $standin ${crowd:-}; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

# A sanitizer's own memory (freed blocks that it keeps, its shadow) counts in the peak, so the bound is for builds
# without one.
peak_bound_kb() {
    if [ -n "${CURRANTRING_SANITIZE:-}" ]; then echo $((1 << 40)); else echo $((memory_mb * 1024)); fi
}

start_standin() {
    rm -f "$work/store" "$work/input"
    mkfifo "$work/input"
    "$bin/currantring-platform-standin" "$work/record" 2 <"$work/input" >"$work/store" &
    standin=$!
    exec 7>"$work/input"
    for _ in $(seq 100); do
        store=$(cat "$work/store")
        [ -z "$store" ] || return 0
        sleep 0.1
    done
    echo "$script_name: the stand-in didn't start"
    exit 1
}

# Starts host $1 on its own ports from $2 on.
start_host() {
    local number=$1 base=$2
    callers[number]=127.0.0.1:$((base + 4)) readiness[number]=127.0.0.1:$((base + 5))
    metrics[number]=127.0.0.1:$((base + 7))
    cat >"$work/boot-$number.toml" <<BOOT
nodeName = "edge-$number"
ip = "127.0.0.1"
zone = "here"
region = "there"
portRange = [$base, $((base + 3))]
[listen]
front = "${callers[number]}"
ready = "${readiness[number]}"
control = "127.0.0.1:$((base + 6))"
[platform]
address = "$store"
writesPerS = 400
readsPerS = 2000
[limits]
cpuShare = 0.25
memoryMb = $memory_mb
maxFds = $descriptors
[bounds]
BOOT
    "$bin/currantring-sited" --charts charts --boot "$work/boot-$number.toml" --metrics-port $((base + 7)) \
        >"$work/host-$number.log" 2>&1 &
    pids[number]=$!
}

is_ready() {
    curl -sf -m 5 -o /dev/null "http://${readiness[$1]}/"
}

try_site() {
    local base=$((20000 + RANDOM % 10000)) number
    for number in 0 1 2; do
        start_host "$number" $((base + 10 * number))
    done
    for number in 0 1 2; do
        for _ in $(seq 150); do
            ! is_ready "$number" || continue 2
            kill -0 "${pids[number]}" 2>/dev/null || return 1
            sleep 0.1
        done
        return 1
    done
}

start_site() {
    start_standin
    for _ in $(seq 5); do
        ! try_site || return 0
        end_hosts
    done
    cat "$work"/host-*.log
    echo "$script_name: the hosts didn't start"
    exit 1
}

end_hosts() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}

end_site() {
    end_hosts
    exec 7>&-
    kill -KILL "$standin" 2>/dev/null || true
    wait "$standin" 2>/dev/null || true
    standin=
}

# Starts the crowd against $1: case, connections, requests of each, pause in ms.
start_crowd() {
    "$bin/currantring-crowd-client" "$@" >"$work/crowd" &
    crowd=$!
}

end_crowd() {
    kill -KILL "$crowd" 2>/dev/null || true
    wait "$crowd" 2>/dev/null || true
    crowd=
}

# The greatest peak of the hosts in kB, and the most descriptors that one of them has; fails when one has ended.
peak_kb=0
open=0
note_use() {
    local pid now
    for pid in "${pids[@]}"; do
        kill -0 "$pid" 2>/dev/null || return 1
        now=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$pid/status")
        [ "${now:-0}" -le "$peak_kb" ] || peak_kb=$now
        now=$(ls "/proc/$pid/fd" 2>/dev/null | wc -l)
        [ "$now" -le "$open" ] || open=$now
    done
}

# An ordinary job through host $1 is accepted and done.
ordinary=0
job_is_served() {
    local id status
    ordinary=$((ordinary + 1))
    id=$(printf 'fedc%012x' "$ordinary")
    for _ in $(seq 40); do
        status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' \
            -d '{"spec":"ordinary","steps":[{"count":2,"cpu":500,"memMb":10,"estimateMs":100}]}' \
            "http://${callers[$1]}/others/$id" || true)
        [ "$status" != 200 ] || break
        sleep 0.5
    done
    for _ in $(seq 40); do
        ! curl -s -m 10 -H 'Host: jobs.example' "http://${callers[$1]}/others/$id" | grep -q completed || return 0
        sleep 0.5
    done
    return 1
}

# Sets wrong, unless it is set, when the hosts don't hold their bounds.
wrong=
check_bounds() {
    if ! note_use; then
        wrong=${wrong:-a process ended}
    elif [ "$peak_kb" -gt "$(peak_bound_kb)" ]; then
        wrong=${wrong:-more than $(peak_bound_kb) kB}
    elif [ "$open" -gt "$descriptors" ]; then
        wrong=${wrong:-more than $descriptors descriptors}
    fi
}

failures=0
verdict() {
    echo "  $1; peak $peak_kb kB, $open descriptors: ${wrong:-ok}"
    [ -z "$wrong" ] || failures=$((failures + 1))
    peak_kb=0 open=0 wrong=
}

finish() {
    [ "$failures" = 0 ] || {
        echo "$script_name: $failures cases failed"
        exit 1
    }
    echo "$script_name: ok"
}
