#!/usr/bin/env bash
# Formats all sources; with --check only reports unformatted files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v /generated/ |
    xargs -r clang-format "${mode[@]}"
