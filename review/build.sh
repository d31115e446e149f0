#!/usr/bin/env bash
# Builds the program that plays the scripts of the review, with the stand-ins that they start.
# The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-rig ./review/rig
