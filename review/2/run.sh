#!/usr/bin/env bash
# Plays this case with the program of the deploy file's build and the stand-ins of
# review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/chivehill ] && [ -x target/review/standin ] || exit 2
exec target/review/standin late target/chivehill "$here/record.txt"
