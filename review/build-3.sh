#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The project's own program is built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-3/standin .
