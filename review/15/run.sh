#!/bin/sh
# Plays the case with target/fuchsiafrontd and target/review3, which review/build-3.sh builds.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec target/review3 -case unmet-reservation -record "$here/record.txt"
