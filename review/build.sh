#!/usr/bin/env bash
# Builds the stand-ins and test programs of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac --release 17 -Xlint:all -d review/target/classes \
  review/standins/org/dandelionbeam/review/*.java
