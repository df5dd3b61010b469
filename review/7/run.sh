#!/usr/bin/env bash
# Restarts a router just before a harmful part of prompts comes; TROUBLE=0: without the restart.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
kill_router=true
if [ "${TROUBLE:-1}" = 0 ]; then
  kill_router=false
fi
exec review/play-2.sh PoisonCase "$kill_router" "$folder/record.txt"
