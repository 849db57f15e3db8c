#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, as a test program.
cd "$(dirname "$0")/.." || exit 2
exec go test -buildvcs=false -tags review -c -o target/review-standin ./review/standin
