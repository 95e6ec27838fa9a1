#!/bin/bash
# Builds every stand-in that a script of the second review starts. Run it in any folder,
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review2/ ./review/trial2
