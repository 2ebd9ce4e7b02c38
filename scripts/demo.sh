#!/usr/bin/env bash
# Builds, runs the services of both reference deployments under load while balancers, targets, the configuration and
# the store change, and checks the guarantees. Exits with 1 if one is violated.
# Usage: demo.sh [BUILD_DIR]; RHUBARBLANE_DEMO_PORT sets the first of 300 loopback ports.
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

# Ports: 0-2 fabric, 10-13 balancers, 20-23 their fabric side, 30-33 HTTP, 40-43 peers, 50 store, 100-299 targets.
address() { echo "127.0.0.1:$((base + $1))"; }

# start NAME COMMAND...: starts a process and stores its id in $started.
start() {
    local name=$1
    shift
    "$@" >"$run/$name.json" 2>"$run/$name.err" &
    started=$!
    pids+=("$started")
}

# await PID SECONDS: waits until a process ends; fails after the timeout.
await() {
    local i
    for ((i = 0; i < $2 * 10; ++i)); do
        kill -0 "$1" 2>/dev/null || return 0
        sleep 0.1
    done
    return 1
}

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ "$failed" -eq 0 ]; then rm -rf "$run"; else echo "logs are in $run" >&2; fi
}
trap stop_all EXIT

say() { printf '%5.1f s  %s\n' "$(($(date +%s%N) / 1000000 - begin))e-3" "$*"; }

start_balancer() {
    start "balancer-$1" "$daemon" balancer --name="balancer-$1" --listen="$(address $((10 + $1)))" \
        --fabric-listen="$(address $((20 + $1)))" --http="$(address $((30 + $1)))" \
        --peer-listen="$(address $((40 + $1)))" --balancers="$balancers" --key-file="$run/key" \
        --store="$(address 50)" --api-key-file="$run/apikey"
    balancer[$1]=$started
}

# start_service SERVICE FIRST_PORT SLOTS SPEED...: starts one target with its agent per speed.
start_service() {
    local service=$1 port=$2 slots=$3 number=1 speed name
    shift 3
    for speed in "$@"; do
        name=$service-$number
        start "target-$name" "$standin" target --name="$name" --service="$service" --listen="$(address "$port")" \
            --slots="$slots" --speed="$speed" --seed="$port" --log="$run/target-$name.log"
        start "agent-$name" "$daemon" agent --name="$name" --listen="$(address $((port + 1)))" \
            --balancers="$balancers" --key-file="$run/key" --fabric="$(address 1)" --target="$(address "$port")" \
            --labels="app=$service" --slots="$slots" --capacity-milli="$((speed * 1000))"
        agent[$name]=$started
        port=$((port + 2))
        number=$((number + 1))
    done
}

# start_callers NAME SERVICE SERVICE_ADDRESS CALLER_ADDRESS FLAG...
start_callers() {
    local name=$1 service=$2 where=$3 from=$4
    shift 4
    start "callers-$name" "$standin" callers --name="$name" --service="$service" --service-address="$where" \
        --address="$from" --fabric="$(address 0)" --duration-ms="$duration" --log="$run/callers-$name.log" "$@"
    callers+=("$started")
}

fabric() { echo "$1 $(address $((20 + $2)))" >"/dev/udp/127.0.0.1/$((base + 2))"; }

declare -A agent balancer
callers=()
duration=30000
balancers="$(address 10),$(address 11),$(address 12),$(address 13)"
head -c 32 /dev/urandom >"$run/key"
# http PORT METHOD PATH BODY: prints the response; fails unless its status is 2xx.
http() {
    local answer
    exec 3<>"/dev/tcp/127.0.0.1/$((base + $1))"
    printf '%s %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %s\r\n\r\n%s' \
        "$2" "$3" "$(cat "$run/apikey")" "${#4}" "$4" >&3
    answer=$(timeout 10 cat <&3 || true)
    exec 3>&-
    [[ $answer == "HTTP/1.1 2"* ]] || { echo "$2 $3: $answer" >&2; return 1; }
    printf '%s\n' "$answer"
}

# declare_service NAME ADDRESS PORT KIND AT_MOST_ONCE
declare_service() {
    http 30 PUT "/v1/services/$1" "{\"spec\": {\"address\": \"$2\", \"port\": $3, \"kind\": \"$4\",
        \"atMostOnce\": $5, \"idleTimeoutMs\": 10000}}" >/dev/null
    http 31 PUT "/v1/rules/$1" "{\"spec\": {\"service\": \"$1\", \"selector\": {\"labels\": {\"app\": \"$1\"}}}}" >/dev/null
}
echo demo-operators-key >"$run/apikey"

begin=$(($(date +%s%N) / 1000000))
start fabric "$standin" fabric --callers-listen="$(address 0)" --answers-listen="$(address 1)" \
    --control-listen="$(address 2)" --balancers="$(address 20),$(address 21),$(address 22)"
start store "$standin" store --listen="$(address 50)"
sleep 0.5
for i in 0 1 2; do start_balancer "$i"; done
sleep 1.5
declare_service readings 10.100.0.1 5000 stream false
declare_service archive 10.100.0.2 5001 stream false
declare_service booking-desk 10.101.0.1 6000 request true
declare_service log-intake 10.101.0.2 6001 stream true
start_service readings 100 4 1 1 2 2 4 4 8
start_service archive 120 4 1 2 4 8
start_service booking-desk 140 2 1 1 2 2 4 4 8
start_service log-intake 160 2 1 2 4 8
sleep 4
say "3 balancers and 22 targets run; callers start"
start_callers streams readings 10.100.0.1:5000 10.200.0.1 --kind=stream --flows=100
start_callers exports archive 10.100.0.2:5001 10.200.0.2 --kind=stream --flows=30
start_callers bookings booking-desk 10.101.0.1:6000 10.200.0.3 --kind=booking --rate=150 --work-ms=100
start_callers uploads log-intake 10.101.0.2:6001 10.200.0.4 --kind=upload --flows=30 --chunks=30
sleep 4
say "kill balancer-2"
kill -9 "${balancer[2]}"
sleep 0.3
fabric remove 2
sleep 3
say "take the store away"
http 50 POST /standin/faults '{"away": "refuse"}' >/dev/null
say "add balancer-3 without the store"
start_balancer 3
sleep 2
fabric add 3
sleep 2
say "bring the store back"
http 50 POST /standin/faults '{"away": "no"}' >/dev/null
sleep 2
say "drain readings-7 by the API"
http 31 PUT /v1/drains/readings-7 '{"spec": {"deadlineMs": 60000}}' >/dev/null
sleep 1
say "change the configuration: a fifth service"
declare_service notices 10.100.0.3 5002 request false
sleep 1
say "stop agent of booking-desk-3 gracefully"
kill -TERM "${agent[booking-desk-3]}"
await "${agent[booking-desk-3]}" 10 || say "agent of booking-desk-3 still runs"
say "stop balancer-0 gracefully"
fabric remove 0
kill -TERM "${balancer[0]}"
for pid in "${callers[@]}"; do await "$pid" 40 || say "callers still run"; done
say "callers have ended"
for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
sleep 1
status=0
"$standin" report "$run" || status=$?
failed=$status
exit "$status"
