#!/usr/bin/env bash
# A writer that learns of its placement's commit after its claim counts no more doesn't start the task: the successor does.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
bin=$(cd "$root" && cd "${CURRANTRING_BIN:-build/bin}" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# The stand-ins look for the program and its charts here.
mkdir "$work/target"
ln -s "$bin" "$work/target/bin"
ln -s "$root/charts" "$work/charts"
cd "$work"
for delay in answer pause; do
    status=0
    "$bin/currantring-late-commit" "$work/record" "$delay" || status=$?
    if [ "$status" != 0 ]; then
        echo "late-commit: ended with $status, delay of the $delay"
        cat "$work/record"
        exit 1
    fi
done
echo "late-commit: ok"
