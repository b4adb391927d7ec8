#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit code: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp "target/review:target/platform/lib/*" LargeResults review/3
