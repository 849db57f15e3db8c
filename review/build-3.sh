#!/bin/sh
# Builds the stand-in that the scripts of review/11 to review/15 start. The daemon comes from
# the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review3 ./review/_standin3
