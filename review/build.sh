#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases, after the build of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/platform/lib/*" review/harness/*.java
