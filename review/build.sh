#!/usr/bin/env bash
# Builds the stand-ins, the cases and the findings beside them into target/review, with the deploy file's packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -Ireview/standin -pthread)
for source in review/standin/*.cc; do
    g++ "${flags[@]}" -c "$source" -o "target/review/$(basename "$source" .cc).o" &
done
wait
for folder in review/[0-9]*/; do
    number=$(basename "$folder")
    g++ "${flags[@]}" "review/$number/case.cc" target/review/*.o -o "target/review/case-$number"
done
for folder in review/findings/*/; do
    name=$(basename "$folder")
    g++ "${flags[@]}" "review/findings/$name/case.cc" target/review/*.o -o "target/review/finding-$name"
done
