#!/bin/sh
# Plays the case; needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/trial ] || exit 2
exec target/review-2/trial leaving-worker review/10
