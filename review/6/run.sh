#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Dsun.net.httpserver.nodelay=true -Djdk.httpclient.allowRestrictedHeaders=host -Xmx1g \
	-cp "target/review-2:target/platform/lib/*" Removed review/6
