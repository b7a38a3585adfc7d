#!/bin/sh
# Builds the stand-ins that the scripts in review/4 to review/8 start, into target/. The build of the
# deploy file goes before it.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-standin-2 ./review/standin-2
