#!/bin/sh
# Builds the stand-ins of the cases into target/, without a network.
set -eu
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review/harness .
