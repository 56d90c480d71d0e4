#!/usr/bin/env bash
# Fails where a name of the platform's wire or settings stands outside the folders
# that translate it: platform/, deploy/ and docs/.
set -euo pipefail
words='X-(Hops|Tenant|Server-Stamp|Not-Run|Expect-Instance|Token-Counts|Deadline-Ms|Request-Priority|Prompt-Prefix)|At-Server|Server-Limit|/hibiscuswick/(readyz|resolve|report|order|rows|blob)|HIBISCUSWICK_CONFIG|ExpectRev|rows-(tx|get|feed)|KvCapacityTokens|ColdRemainingMs|TargetLatencyMs|GapTargetMs'
if git grep -nE "$words" -- . ':!platform' ':!deploy' ':!docs' ':!journal' ':!.ci/platform-words.sh'; then
  echo "the platform's words stand outside platform/, deploy/ and docs/"
  exit 1
fi
