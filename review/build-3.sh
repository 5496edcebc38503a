#!/bin/sh
# Builds the stand-ins of the cases from 11 on into target/. Run it from anywhere, after the
# build of the deploy file. They need the standard library only.
cd "$(dirname "$0")/stand3" || exit 2
mkdir -p ../../target
GOWORK=off exec go build -o ../../target/stand3 .
