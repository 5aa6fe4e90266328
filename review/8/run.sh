#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gypsumd ] && [ -x target/review-second ] || exit 2
exec target/review-second refused review/8/record.txt
