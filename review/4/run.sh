#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stand ] && [ -x target/parsleyturnd ] || { echo "build the deploy file, then run review/build.sh"; exit 2; }
exec target/stand restarted-node review/4/record.txt
