#!/usr/bin/env bash
# Measures one gateway against direct calls to the same stand-in and prints one
# JSON object a line. The other daemons that are built run idle for their memory.
# Starts the built binaries and ends exactly those.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${GERANIUM_BIN:-bin}
port=${GERANIUM_BENCH_PORT:-7600}
host=127.0.0.1
stand_in=$host:$port
gateway=$host:$((port + 10))
metrics=$host:$((port + 11))
control=$host:$((port + 20))
scheduler=$host:$((port + 22))
work=$(mktemp -d)
pids=()
names=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# start NAME BINARY SETTINGS starts a daemon if it is built.
start() {
  [ -x "$bin/$2" ] || return 0
  printf '%s' "$3" > "$work/$1.json"
  "$bin/$2" -settings "$work/$1.json" 2> "$work/$1.log" &
  pids+=($!)
  names+=("$1=$!")
}

"$bin/geranium-bench" stand-in -listen "$stand_in" &
pids+=($!)
start gateway geranium-gateway "{\"name\":\"bench-gw\",\"domain\":\"bench-a\",
 \"listen\":\"$gateway\",\"metrics_listen\":\"$metrics\",\"control\":[\"$stand_in\"],
 \"schedulers\":[{\"name\":\"bench-s\",\"domain\":\"bench-a\",\"address\":\"$stand_in\"}],\"drain_ms\":0}"
mkdir "$work/data"
start control geranium-control "{\"name\":\"bench-c\",\"domain\":\"bench-a\",\"listen\":\"$control\",
 \"metrics_listen\":\"$host:$((port + 21))\",\"data_dir\":\"$work/data\",\"replica_id\":1,
 \"replicas\":[{\"id\":1,\"address\":\"$control\",\"domain\":\"bench-a\"}],\"single_domain_ok\":true,\"state_may_be_lost\":true}"
start scheduler geranium-scheduler "{\"name\":\"bench-s\",\"domain\":\"bench-a\",\"listen\":\"$scheduler\",
 \"metrics_listen\":\"$host:$((port + 23))\",\"control\":[\"$control\"]}"

memory=$(IFS=,; echo "${names[*]}")
"$bin/geranium-bench" measure -gateway "$gateway" -metrics "$metrics" -direct "$stand_in" -pids "$memory" "$@"
