#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread review/standin-2/main.cc -o target/review-2/review-case
