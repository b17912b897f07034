#!/usr/bin/env bash
# Runs a case: run-case.sh CLASS FOLDER. Exits with 0, 1 or 2 as the case does, with 2 if it could not run.
set -u
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
jdk=$("$root/bin/find-jdk") || exit 2
[ -d "$review/target/classes" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x "$root/target/runtime/bin/java" ] || { echo "run bin/build-runtime first" >&2; exit 2; }
timeout -k 5 115 "$jdk/bin/java" -cp "$review/target/classes" "$1" "$root" "$2/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
