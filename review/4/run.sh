#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/links
[ -x "$program" ] && [ -x target/release/cornelpoint-manager ] || exit 2
exec "$program" review/4/record.txt
