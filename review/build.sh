#!/bin/sh
# Builds the driver of the cases, which holds all stand-ins. The programs themselves come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review-driver ./review/driver
