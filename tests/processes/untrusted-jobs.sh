#!/usr/bin/env bash
# Submissions that become large don't exhaust the memory of currantring-sited, and an ordinary job is
# done afterwards. Guards against documents that are built before they are checked (one body of 262,000 bytes took 95 MB)
# against an object for each task that waits (15 jobs of 100,000 took 178 MB), and against accepted jobs without a limit.
#
# The crowds and the bounds are fixed; neither depends on the machine's speed.
script_name=untrusted-jobs
. "$(dirname "$0")/site.sh"

# Case, connections, requests of each, limit of memory in MB.
attack() {
    memory_mb=$4
    start_site
    start_crowd "${callers[0]}" "$1" "$2" "$3" 0
    while kill -0 "$crowd" 2>/dev/null && note_use; do
        sleep 0.1
    done
    wait "$crowd" || true
    crowd=
    check_bounds
    [ -n "$wrong" ] || job_is_served 1 || wrong="no ordinary job was done afterwards"
    check_bounds
    verdict "$(cat "$work/crowd")"
    end_site
}

for name in ${*:-after steps unknown-values unknown-members members-of-step after-and-steps wide due-at-once unrunnable}; do
    case $name in
    after-and-steps) attack "$name" 4 3 64 ;;
    wide) attack "$name" 1 15 64 ;;
    unrunnable) attack "$name" 16 400 32 ;;
    *) attack "$name" 1 1 64 ;;
    esac
done
finish
