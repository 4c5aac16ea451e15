#!/bin/sh
# Plays the case; record.txt beside this file tells what was sent, answered and run.
# TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
for program in target/review/harness target/release/comfreybay-sidecar; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
target/review/harness silent target/release/comfreybay-sidecar "$case_folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
