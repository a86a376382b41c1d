#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
