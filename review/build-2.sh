#!/usr/bin/env bash
# Compiles the stand-ins (in the folder of the first case) and the cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
jdk=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
find review -name '*.java' | grep -E '^review/([6-9]|10)/' | sort > target/review-2/sources
"$jdk/bin/javac" -d target/review-2 @target/review-2/sources
