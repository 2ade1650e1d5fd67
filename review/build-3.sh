#!/usr/bin/env bash
# Builds the program that the scripts of the cases 11 and 12 start: their stand-ins of workers,
# clients and the operator. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/lab3 ./review/_lab3
