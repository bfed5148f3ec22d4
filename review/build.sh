#!/usr/bin/env bash
# Builds the program of each case of the review into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[1-5]; do
  if [ -e "$folder/main.go" ]; then
    go build -o "target/$folder" "./$folder"
  fi
done
