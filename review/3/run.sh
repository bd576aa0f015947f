#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption. review/build.sh builds the stand-ins.
cd "$(dirname "$0")/../.."
[ -x target/release/kingcuploft-front ] && [ -x target/review/standins ] || exit 2
exec target/review/standins drain review/3/record.txt
