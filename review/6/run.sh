#!/bin/sh
# Case 6: exits with 1 if the rule LIMIT was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sycamorefork ] && [ -x target/review-2/release/scene-2 ] || exit 2
exec target/review-2/release/scene-2 limit review/6/record.txt
