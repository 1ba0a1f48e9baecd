#!/bin/bash
# Builds the stand-ins and drivers of the cases 6 to 10 into review/stand-2/classes.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
rm -rf classes
javac -Xlint:all -d classes ./*.java
