#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs Go only, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
go build -buildvcs=false -o ../../target/review/standin .
