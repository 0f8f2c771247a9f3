#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network. Run it after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/second/platform"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/stand-ins .
