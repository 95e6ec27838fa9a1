#!/usr/bin/env bash
# A failing task on a removed queue is started again without end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && exec target/review-trial attempts review/5
