#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-stand
if [ ! -x "$program" ] || [ ! -x target/release/aspenreel ]; then
    echo "build the service and run review/build.sh first" >&2
    exit 2
fi
"$program" repeated-start review/1/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
