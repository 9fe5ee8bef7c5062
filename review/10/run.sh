#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the deploy file's build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cove-host ] && [ -x out/review-2/stale_pages ] || exit 2
exec out/review-2/stale_pages review/10/record.txt
