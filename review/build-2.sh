#!/bin/sh
# Builds the stand-in that the scripts of the second review start.
# It has no dependencies, so it needs no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/standin-2 .
