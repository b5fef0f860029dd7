#!/bin/sh
# Builds the stand-ins of the review with the JDK alone: no network, no dependency.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -nowarn -d target standins/*.java
