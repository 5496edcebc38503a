#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. Run it from anywhere, after the build
# of the deploy file.
cd "$(dirname "$0")/stand3" || exit 2
mkdir -p ../../target
GOWORK=off exec go build -o ../../target/stand3 .
