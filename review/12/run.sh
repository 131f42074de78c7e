#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
temp=$(mktemp -d) || exit 2
target/review-3/return_and_leave review/12 "$temp"
code=$?
rm -rf "$temp"
[ "$code" -le 2 ] || code=2
exit "$code"
