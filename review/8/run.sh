#!/bin/bash
# Stops a host that has accepted requests which wait for a slot. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 the host is not stopped.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig-2 ] && [ -x target/bluebell-edge ] || exit 2
exec timeout --kill-after=5 115 target/review-rig-2 stop-waiting review/8/record.txt
