#!/bin/sh
# The machine that owns a pool is removed while a worker is lost for good.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. First: the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-2 takeover review/9/record.txt
