#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt are
# skipped here by name and printed; every other failure fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."
known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
if [ "${#known[@]}" -gt 0 ]; then
  printf 'known red, not run: %s\n' "${known[@]}"
  pattern="^($(IFS='|'; echo "${known[*]}"))\$"
  exec go test -race -timeout 15m -skip "$pattern" ./...
fi
exec go test -race -timeout 15m ./...
