#!/usr/bin/env bash
# Case 10. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || { echo "run review/build-2.sh first"; exit 2; }
exec timeout --signal=TERM 119 target/review-2/case-10
