#!/usr/bin/env bash
# Runs the case. Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chivehill ] && [ -x target/review-2 ] || { echo "build first: the build of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec target/review-2 -case directory-after-restart -record review/9/record.txt
