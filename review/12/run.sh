#!/bin/sh
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/driver-3 ] && [ -x target/redwingpoint ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
exec target/review-3/driver-3 lost-seeds review/12
