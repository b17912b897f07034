#!/usr/bin/env bash
# Shows the case of claim.txt. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/LogReaderPause.class ] || { echo "review/build-2.sh has not run" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/runtime/bin/java -XX:+UseSerialGC -cp target/review-2 LogReaderPause "$PWD" "$folder"
