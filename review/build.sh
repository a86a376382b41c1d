#!/usr/bin/env bash
# Builds the program with the stand-ins of the cases. The nodes come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/stand
