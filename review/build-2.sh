#!/usr/bin/env bash
# Builds the programs that the scripts of review/6 to review/10 start besides the project's own processes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
done
