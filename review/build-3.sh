#!/usr/bin/env bash
# Builds the cases 11 and up with their stand-ins into target/review-3. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
builds=()
for number in 11 12 13 14 15; do
    if [ -f "review/$number/case.cc" ]; then
        g++ -std=c++20 -O1 -g1 -Wall -Wextra -pthread "review/$number/case.cc" \
            -o "target/review-3/case-$number" &
        builds+=($!)
    fi
done
for build in "${builds[@]}"; do
    wait "$build"
done
