#!/usr/bin/env bash
# Configures and builds. Usage: build.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-8}"
