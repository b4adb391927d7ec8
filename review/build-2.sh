#!/bin/sh
# Builds the stand-ins of review/standins-2 with the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp "target/platform/lib/*" -d target/review-2 review/standins-2/*.java
