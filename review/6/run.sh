#!/bin/sh
# Case 6: exits with 1 if the rule LIMIT was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sycamorefork ] && [ -x target/review-2/release/scene-2 ] || exit 2
case "${TROUBLE:-1}" in
0) trouble=off ;;
*) trouble=on ;;
esac
exec target/review-2/release/scene-2 limit review/6/record.txt "$trouble"
