#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/_lab
