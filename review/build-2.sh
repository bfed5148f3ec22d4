#!/usr/bin/env bash
# Builds the program and the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/endivehill
for n in 6 7 8; do
  go build -o "target/review-$n" "./review/$n"
done
