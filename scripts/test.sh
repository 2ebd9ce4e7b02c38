#!/usr/bin/env bash
# Installs what is missing, builds, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install-packages.sh
./scripts/format.sh --check
./scripts/build.sh build
./scripts/lint.sh build
ctest --test-dir build --output-on-failure -j 4 --timeout 240
