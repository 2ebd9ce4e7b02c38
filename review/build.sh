#!/bin/sh
# Builds the stand-ins of the cases into target/review. Needs only the C++ compiler of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/case$name" "$source"
done
