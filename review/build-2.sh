#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file. The packages are in Go's standard library.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig
