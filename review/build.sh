#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts. The project's own program is
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/1/_harness
