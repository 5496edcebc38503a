#!/usr/bin/env bash
# Builds the stand-ins of the cases. The nodes are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o stand .
