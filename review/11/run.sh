#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
# Without the disruption if TROUBLE is 0.
export TROUBLE="${TROUBLE:-1}"
jdk=$(bin/find-jdk) || exit 2
exec "$jdk/bin/java" -Xmx256m -cp target/review-3 SpoiltNumber review/11
