#!/usr/bin/env bash
# Runs all tests with the race detector, and after them, one at a time, those that watch the
# memory of processes. These run without it: the processes are built without it anyway, and for
# the clients it took 10 GB of the machine's memory. Tests listed in KNOWN-RED.txt are skipped here by name and
# printed; every other failure fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."
known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
skip=()
if [ "${#known[@]}" -gt 0 ]; then
  printf 'known red, not run: %s\n' "${known[@]}"
  skip=(-skip "^($(IFS='|'; echo "${known[*]}"))\$")
fi
mapfile -t packages < <(go list ./... | grep -v '/abuse$')
go test -race -timeout 15m "${skip[@]}" "${packages[@]}"
go test -timeout 25m "${skip[@]}" ./abuse
