#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/hibiscusd ] && [ -x review/bin/twice ] || { echo "build target/ and review/build.sh first"; exit 2; }
exec review/bin/twice review/3/record.txt
