#!/usr/bin/env bash
# Measures the membership core and writes docs/measurements/control.json and control.svg.
# Usage: measure-control.sh [BUILD_DIR]; all times are simulated except processor times, which are those of this computer.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
measure=$build/src/membership/measure/rhubarblane_measure_control
runs=$(mktemp)
trap 'rm -f "$runs"' EXIT
run() {
    printf '{"run": "%s", "result": %s}\n' "$*" "$("$measure" "$@")" >> "$runs"
}
for balancers in 10 30 100 200 400; do
    run fleet --balancers "$balancers" --seed 1
done
run fleet --balancers 200 --regions 4 --seed 1
for balancers in 12 30 100 200; do
    run failures --balancers "$balancers" --seed 2
done
for balancers in 10 30 100; do
    run falsedeaths --balancers "$balancers" --seed 3
done
run design --bytes-per-second 6000 --seconds 3600 --seed 4
python3 scripts/plot-control.py fit "$runs" docs/measurements/control.json
python3 scripts/plot-control.py plot docs/measurements/control.json docs/measurements/control.svg
