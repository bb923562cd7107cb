#!/usr/bin/env bash
# Builds the stand-ins of the second independent review (cases 6 to 10) into target/.
# The entries come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-bed-2 ./review/bed2
