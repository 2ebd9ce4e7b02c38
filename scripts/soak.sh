#!/usr/bin/env bash
# Runs the soak test: injects faults into real processes and checks the guarantees that callers and targets observe.
# Usage: soak.sh [--seed N] [--minutes M] [--processes P]
# Without --seed a random seed is used. Seeds that have failed are listed in platform/tests/soak/seeds.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$((RANDOM * 32768 + RANDOM))
minutes=1
processes=9
while [ "$#" -gt 0 ]; do
    case $1 in
    --seed) seed=$2 ;;
    --minutes) minutes=$2 ;;
    --processes) processes=$2 ;;
    *)
        echo "soak.sh: unknown option '$1'" >&2
        exit 2
        ;;
    esac
    shift 2
done
for number in "$seed" "$minutes" "$processes"; do
    if [[ ! $number =~ ^[0-9]+$ ]]; then
        echo "soak.sh: '$number' is not a whole number" >&2
        exit 2
    fi
done
if [ "$minutes" -lt 1 ] || [ "$processes" -lt 6 ]; then
    echo "soak.sh: --minutes must be at least 1 and --processes at least 6" >&2
    exit 2
fi
build=${BUILD_DIR:-build}
folder=${SOAK_DIR:-$build/soak}/$seed
mkdir -p "$folder"
balancers=$((processes / 3))
# Faults are injected for three fifths of the time; the rest is start, recovery and the checked time without faults.
"$build/platform/tests/rhubarblane_soak" --seed="$seed" --faults-ms=$((minutes * 60000 * 3 / 5)) \
    --balancers="$balancers" --agents=$((processes - balancers)) --network=$((20 + seed % 200)) \
    --folder="$folder" --program="$build/platform/rhubarblane_node" |
    tee "$folder/report.txt"
