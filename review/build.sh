#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -tags review -o target/review-standin ./review/standin
