#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/ ./review/driver-3
