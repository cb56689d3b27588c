#!/bin/bash
# Builds the stand-ins and the cases. Needs the build of the deploy file; uses nothing but the JDK and the project's jar.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-classes
mkdir -p target/review-classes
javac -nowarn -encoding UTF-8 -cp target/woadloom.jar -d target/review-classes $(find review -name '*.java')
