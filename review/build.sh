#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_cases
