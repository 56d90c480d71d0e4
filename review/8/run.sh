#!/usr/bin/env bash
# Runs the case from the root of the repository. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
CASE=review/8 exec review/bin/drained
