#!/usr/bin/env bash
# Clients that hold all connections of a port of currantring-sited, and send a whole request now and then, don't keep
# others from it. Guards against connections that are spared for good once they have sent a request: 512 of them took
# all of a host's.
#
# While the crowd goes on, one of forty ordinary requests has to be answered; how many is not looked at.
script_name=held-connections
. "$(dirname "$0")/site.sh"

is_answered() {
    for _ in $(seq 40); do
        [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "http://$1/$2" || true)" = 000 ] \
            || return 0
    done
    return 1
}

# Port, connections, path of the ordinary request.
attack() {
    local address
    start_site
    case $1 in
    callers) address=${callers[0]} ;;
    readiness) address=${readiness[0]} ;;
    metrics) address=${metrics[0]} ;;
    esac
    start_crowd "$address" get "$2" 1000 200
    # Until the crowd holds what it can get.
    sleep 3
    is_answered "$address" "$3" || wrong="no ordinary request was answered beside the crowd"
    check_bounds
    end_crowd
    [ -n "$wrong" ] || job_is_served 0 || wrong="no ordinary job was done afterwards"
    check_bounds
    verdict "$1, $2 connections"
    end_site
}

attack callers 512 orders/0123456789abcdef
attack readiness 20 ""
attack metrics 20 metrics
finish
