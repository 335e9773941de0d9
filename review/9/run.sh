#!/bin/sh
# Runs the case "other-writer" of review/lab2; see claim.txt. The build of the deploy file and
# review/build-2.sh have to run before. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/hibiscusstair ] || [ ! -x out/review-2/lab2 ]; then
	echo "run the build of the deploy file and review/build-2.sh first"
	exit 2
fi
exec out/review-2/lab2 other-writer review/9/record.txt
