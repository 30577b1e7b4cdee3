#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/tarragonsill ] && [ -x review/stand-ins-3/target/standin ] || exit 2
review/stand-ins-3/target/standin restart-in-outage "$here/record.txt"
result=$?
[ $result -le 1 ] || result=2
exit $result
