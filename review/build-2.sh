#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/6 and later. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2 .
