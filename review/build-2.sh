#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:/usr/local/go/bin"
go build -tags review2 -o target/review/driver-2 ./review/driver-2
