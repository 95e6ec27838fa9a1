#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec target/rig3 -case wide -programs target -record review/13/record.txt
