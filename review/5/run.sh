#!/usr/bin/env bash
# A seed machine is lost during the first start; the system never starts.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && exec target/review-trial founding review/5
