#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/release/case-4
if [ ! -x "$program" ] || [ ! -x target/release/aspenreel ]; then
    echo "build the service and run review/build-2.sh first"
    exit 2
fi
RECORD=review/4/record.txt timeout --signal=KILL 118 "$program"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
