#!/bin/sh
# Writes record.txt beside this file: what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -f target/daemon.mjs ] && [ -f target/review/late-refusal.mjs ] || exit 2
exec node target/review/late-refusal.mjs "$folder/record.txt"
