#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. The build line of
# deploy/system.toml builds the programs under test.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-trial ./review/trial
