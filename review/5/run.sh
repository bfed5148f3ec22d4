#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/5 -folder review/5 -program target/endivehill
