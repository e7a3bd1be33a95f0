#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into
# target/review-2. The programs of the system are built by the line build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/rig2"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2/rig .
