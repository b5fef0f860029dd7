#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK only.
set -e
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/../target/review-2"
javac -nowarn -d "$here/../target/review-2" "$here"/standins-2/*.java
