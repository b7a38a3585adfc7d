#!/bin/sh
# Builds the stand-ins that the scripts of cases 9 to 12 start. Run it after the deploy file's build.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3 ./review/standin-3
