#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The daemon is built by the build line of
# deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-stand ./review/_stand
