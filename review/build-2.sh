#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 with the JDK alone, into target/review-2.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standin-2/*.java
