#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/rig ./review/rig-3
