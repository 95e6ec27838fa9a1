#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec target/rig3 -case cancel -programs target -record review/15/record.txt
