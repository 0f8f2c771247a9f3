#!/bin/bash
# Builds every stand-in that a script of the review starts. It needs the Go toolchain only.
set -e
cd "$(dirname "$0")/platform"
go build -o bin/standin .
