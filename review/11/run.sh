#!/bin/sh
# Writes record.txt beside it. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/daemon.mjs ] && [ -f target/review-3/frozen-owner-case.mjs ] || exit 2
exec timeout 110 node target/review-3/frozen-owner-case.mjs "$folder/record.txt"
