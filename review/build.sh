#!/bin/bash
# Builds the stand-ins of the cases. It needs Go only: they use no library.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
