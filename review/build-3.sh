#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, with the clients and the platform, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/cases ./review/_cases-3
