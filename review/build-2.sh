#!/bin/bash
# Builds the stand-ins of cases 4 to 8. They need Go and no module but their own.
set -euo pipefail
cd "$(dirname "$0")/tools-2"
mkdir -p ../../target
GOFLAGS= GOPROXY=off GOWORK=off go build -buildvcs=false -o ../../target/review-2 .
