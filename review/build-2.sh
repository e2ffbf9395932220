#!/bin/sh
# Builds the stand-in that the scripts of the second review start (review/6 to review/10).
# It has no dependencies, so it needs no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2/standin-2 .
