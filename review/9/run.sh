#!/usr/bin/env bash
# Kills a router while streams run, soon after a release has begun; TROUBLE=0: without the release.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
trouble=RELEASE
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=NONE
fi
exec review/play-2.sh TakeUpCase "$trouble" "$folder/record.txt"
