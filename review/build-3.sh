#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -encoding UTF-8 -cp target/mangorack.jar -d target/review-3 \
	bench/src/main/java/org/mangorack/bench/standin/StandInServer.java \
	bench/src/main/java/org/mangorack/bench/standin/FleetStoreStandIn.java \
	review/standins-3/*.java
