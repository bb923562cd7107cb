#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of the deploy file has to run before the cases too.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/bed
