#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, as a test program. The daemon is built by
# the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go test -buildvcs=false -tags review -c -o target/review-stand ./review/standin2
