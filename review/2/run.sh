#!/usr/bin/env bash
# A maintenance wave over a whole pool stops tasks that last, and none runs again.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && exec target/review-trial wave review/2
