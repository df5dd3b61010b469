#!/usr/bin/env bash
# Builds the stand-ins of the second review; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=review/standins-2/src
classes=review/standins-2/target/classes
rm -rf "$classes"
mkdir -p "$classes"
javac -Xlint:all -Werror --release 17 -cp "platform/target/lib/*" -d "$classes" \
  "$sources"/org/dandelionbeam/review/*.java
