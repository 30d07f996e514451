#!/bin/sh
# Runs the case; needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/daemon.mjs ] && [ -f target/review-2/8.mjs ] || { echo 'run the build of the deploy file and review/build-2.sh first'; exit 2; }
exec node target/review-2/8.mjs review/8/record.txt
