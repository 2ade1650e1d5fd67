#!/usr/bin/env bash
# Builds the binaries of the newest released version into a directory, for the test
# of an upgrade. Needs the history of the repository.
set -euo pipefail
out=$(mkdir -p "$1" && cd "$1" && pwd)
cd "$(dirname "$0")/.."
commit=$(tail -n 1 formats/testdata/released.txt | cut -d' ' -f2)
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "the released commit $commit is not in this clone: run git fetch --unshallow" >&2
  exit 1
fi
source=$(mktemp -d)
trap 'rm -rf "$source"' EXIT
git archive "$commit" | tar -x -C "$source"
(cd "$source" && go build -o "$out/" ./cmd/...)
