#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
number=$(basename "$case_folder")
[ -x "target/review/case-$number" ] || { echo "run review/build.sh first"; exit 2; }
CASE="$case_folder" exec "target/review/case-$number"
