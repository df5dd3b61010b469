#!/usr/bin/env bash
# Runs a test program of the review: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
limit_s=115
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.." || exit 2
[ -d review/target/classes ] || { echo "review/build.sh has not run" >&2; exit 2; }
[ -f platform/target/dandelionbeam-router.jar ] || { echo "no router: bin/build-router" >&2; exit 2; }
timeout "$limit_s" java -Xmx512m -cp review/target/classes "org.dandelionbeam.review.$1" "$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
