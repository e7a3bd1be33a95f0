#!/bin/sh
# Builds the stand-ins of the cases 11, 13 and 14: one program of the standard library alone.
set -e
cd "$(dirname "$0")/rig3"
GOWORK=off GOTOOLCHAIN=local GOFLAGS= go build -buildvcs=false -o bin/rig3 .
