#!/bin/bash
# Usage: play.sh CASE FOLDER. Plays a case once and writes record.txt in the folder. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run, also where Java itself does not start.
cd "$(dirname "$0")" || exit 2
if [ ! -f "classes/stand2/$1.class" ] || [ ! -f ../../target/holdproxy.jar ]; then
    echo "could not run: the build or review/build-2.sh is missing"
    exit 2
fi
java -Xmx512m -Droot=../.. -cp classes "stand2.$1" "$2" &
driver=$!
trap 'kill "$driver" 2> /dev/null' INT TERM
wait "$driver"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
