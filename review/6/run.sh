#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/kingcuploft-front ] || [ ! -x target/review-2/standins ]; then
    echo "not built: the deploy file's build and review/build-2.sh come first"
    exit 2
fi
exec target/review-2/standins lost-change review/6/record.txt
