#!/usr/bin/env bash
# Builds, runs balancers, agents and targets with load while parts of them fail, and checks the promises.
# Usage: demo.sh [BUILD_DIR]; RHUBARBLANE_DEMO_PORT moves the range of 200 loopback ports.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
./scripts/build.sh "$build" >&2
daemon=$build/src/daemon/rhubarblaned
standin=$build/src/standins/rhubarblane_standin
base=${RHUBARBLANE_DEMO_PORT:-21000}
run=$(mktemp -d)
pids=()
failed=1

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        for _ in 1 2 3 4 5 6 7 8 9 10; do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    if [ "$failed" -eq 0 ]; then rm -rf "$run"; else echo "logs are in $run" >&2; fi
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process; its id is in started.
start() {
    local name=$1
    shift
    "$@" >"$run/$name.json" 2>"$run/$name.err" &
    started=$!
    pids+=("$started")
}

address() { echo "127.0.0.1:$((base + $1))"; }

head -c 32 /dev/urandom >"$run/key"
cat >"$run/configuration" <<JSON
{"revision": 1,
 "services": {"readings": {"address": "10.100.0.1", "port": 5000, "kind": "request", "idleTimeoutMs": 10000}},
 "rules": {"readings": {"service": "readings", "selector": {"labels": {"app": "readings"}}}}}
JSON

peers="$(address 10),$(address 11),$(address 12)"
start fabric "$standin" fabric --callers-listen="$(address 0)" --answers-listen="$(address 1)" \
    --control-listen="$(address 2)" --balancers="$(address 20),$(address 21),$(address 22)"
for i in 0 1 2; do
    start "balancer-$i" "$daemon" balancer --name="balancer-$i" --listen="$(address $((10 + i)))" \
        --fabric-listen="$(address $((20 + i)))" --key-file="$run/key" --configuration="$run/configuration" \
        --http="$(address $((30 + i)))"
    eval "balancer$i=$started"
done
for i in 1 2 4; do
    start "target-$i" "$standin" target --name="readings-$i" --service=readings --listen="$(address $((40 + i)))" \
        --slots=4 --speed="$i" --log="$run/target-$i.log"
    start "agent-$i" "$daemon" agent --name="readings-$i" --listen="$(address $((50 + i)))" --key-file="$run/key" \
        --balancers="$peers" --fabric="$(address 1)" --target="$(address $((40 + i)))" --labels=app=readings \
        --slots=4 --capacity-milli="${i}000"
done
sleep 3
callers=()
start callers-requests "$standin" callers --name=requests --fabric="$(address 0)" --address=10.200.0.1 \
    --service=readings --service-address=10.100.0.1:5000 --rate=200 --work-ms=20 --duration-ms=8000 \
    --log="$run/callers-requests.log"
callers+=("$started")
sleep 3
echo "kill balancer-2"
kill -9 "$balancer2"
sleep 0.2
echo "remove $(address 22)" >"/dev/udp/127.0.0.1/$((base + 2))"
for pid in "${callers[@]}"; do wait "$pid"; done
for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
sleep 1
"$standin" report "$run" && failed=0
exit "$failed"
