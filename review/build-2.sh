#!/usr/bin/env bash
# Builds the program that plays the cases 6 to 10 of this folder, with its stand-ins. The
# build of deploy/system.toml must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases-2 ./review/_cases-2
