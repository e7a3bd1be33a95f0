#!/usr/bin/env bash
# Builds the program that plays the scripts of this folder, with its stand-ins
# for clients, servers and the infrastructure. It needs no network.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../bin/rig .
