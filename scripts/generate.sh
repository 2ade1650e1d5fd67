#!/usr/bin/env bash
# Regenerates the protobuf and twirp code. Needs protoc, protoc-gen-go v1.36.12
# and protoc-gen-twirp v8.1.3 on PATH; the build itself needs none of them.
set -euo pipefail
cd "$(dirname "$0")/.."
for proto in $(git ls-files --cached --others --exclude-standard '*.proto'); do
  protoc --go_out=. --go_opt=module=geraniumwall --twirp_out=. --twirp_opt=module=geraniumwall "$proto"
done
