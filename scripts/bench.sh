#!/usr/bin/env bash
# Measures one gateway against direct calls to the same stand-in and prints one
# JSON object a line. Starts the built binaries and ends exactly those.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${GERANIUM_BIN:-bin}
port=${GERANIUM_BENCH_PORT:-7600}
stand_in=127.0.0.1:$port
gateway=127.0.0.1:$((port + 10))
metrics=127.0.0.1:$((port + 11))
settings=$(mktemp)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -f "$settings"
}
trap finish EXIT

cat > "$settings" <<JSON
{"name":"bench-gw","domain":"bench-a","listen":"$gateway","metrics_listen":"$metrics",
 "control":["$stand_in"],"schedulers":[{"name":"bench-s","domain":"bench-a","address":"$stand_in"}],"drain_ms":0}
JSON
"$bin/geranium-bench" stand-in -listen "$stand_in" &
pids+=($!)
"$bin/geranium-gateway" -settings "$settings" &
gateway_pid=$!
pids+=("$gateway_pid")
"$bin/geranium-bench" measure -gateway "$gateway" -metrics "$metrics" -direct "$stand_in" \
  -pids "gateway=$gateway_pid" "$@"
