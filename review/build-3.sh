#!/bin/sh
# Builds the stand-in of the cases 11 to 15, as a test program. The daemon is built by
# the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go test -buildvcs=false -tags review -c -o target/review3 ./review/standin3
