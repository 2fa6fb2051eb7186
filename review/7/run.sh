#!/usr/bin/env bash
# Runs case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lilacthread ] && [ -x target/review/case7 ] || exit 2
CASE=review/7 exec target/review/case7
