#!/usr/bin/env bash
# Builds the stand-ins of the third review. The programs themselves are built by the line
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
