#!/bin/bash
# Compiles the stand-ins and the drivers of the cases into review/classes. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -Xlint:all -d classes stand/*.java [0-9]*/*.java
