#!/usr/bin/env bash
# Compiles the stand-ins (in the folder of the first case) and the cases into review/target.
set -euo pipefail
cd "$(dirname "$0")"
jdk=$(../bin/find-jdk)
rm -rf target
mkdir -p target/classes
"$jdk/bin/javac" -Xlint:all -d target/classes 1/standins/*.java ./[1-5]/*.java
