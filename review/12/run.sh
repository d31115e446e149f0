#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, with 0 if it held, and with 2 if the case could not
# run. TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bluebell-edge ] && [ -x target/review-3/rig ] || exit 2
exec target/review-3/rig refused "review/12/record.txt"
