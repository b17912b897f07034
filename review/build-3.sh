#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
jdk=$(bin/find-jdk)
mkdir -p target/review-3
find review/1[1-5] -name '*.java' -print0 2>/dev/null |
  xargs -0 "$jdk/bin/javac" -nowarn -d target/review-3
