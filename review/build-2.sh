#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts. The project's own program
# is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases ./review/6/_cases
