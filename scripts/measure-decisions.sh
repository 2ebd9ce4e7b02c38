#!/usr/bin/env bash
# Runs every scenario of rhubarblane_bench on both deployments and writes one JSON object per line to
# docs/measurements/decisions.jsonl. Usage: measure-decisions.sh [BUILD_DIR]
# Variables (defaults): SEEDS (20) and BASELINE_SEEDS (5), numbers of seeds; DURATION_MS (30000), simulated time; JOBS
# (4), parallel processes.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=${1:-build}/src/bench/rhubarblane_bench
out=docs/measurements
mkdir -p "$out"
duration=${DURATION_MS:-30000}

arguments()
{
    local policy seeds scenario deployment seed
    for policy in $("$bench" --list | awk '$1 == "policy" { print $2 }'); do
        seeds=${BASELINE_SEEDS:-5}
        [ "$policy" = default ] && seeds=${SEEDS:-20}
        for scenario in $("$bench" --list | awk '$1 == "scenario" { print $2 }'); do
            for deployment in $("$bench" --list | awk '$1 == "deployment" { print $2 }'); do
                for seed in $(seq 1 "$seeds"); do
                    echo "--scenario $scenario --policy $policy --deployment $deployment --seed $seed"
                done
            done
        done
    done
}

# Each line is shorter than the atomic write size of a pipe, so lines of parallel runs do not interleave.
arguments | xargs -P "${JOBS:-4}" -I{} bash -c "timeout 300 $bench {} --duration-ms $duration --json" |
    sort > "$out/decisions.jsonl"
wc -l "$out/decisions.jsonl"
