#!/usr/bin/env bash
# Runs a case of the second review: class, arguments. Exits with 2 if it can't run.
set -euo pipefail
cd "$(dirname "$0")/.."
class="$1"
shift
built="review/standins-2/target/classes/org/dandelionbeam/review/$class.class"
if [ ! -f "$built" ] || [ ! -f platform/target/dandelionbeam-router.jar ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec java -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -cp "review/standins-2/target/classes:platform/target/lib/*" "org.dandelionbeam.review.$class" "$@"
