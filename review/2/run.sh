#!/bin/sh
# Runs the case; record.txt beside this file has what was sent, answered and run.
# TROUBLE=0 leaves the disruption out.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/stand target/release/comfreybay-sidecar; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
target/review/stand roll review/2
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
