#!/usr/bin/env bash
# Runs cppcheck and clang-tidy over all sources, or clang-tidy over the given ones only.
# Usage: lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' | grep -v /generated/)
    cppcheck --quiet --std=c++17 --language=c++ --enable=warning,performance,portability --inline-suppr \
        --suppress=missingInclude --suppress=unknownMacro --error-exitcode=1 -I src -I . -i src/wire/generated -j 4 src platform
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P 8 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" 2> >(grep -v " warnings\? generated" >&2)
