#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/standin ] && [ -x target/tarragonsill ] || exit 2
target/review/standin stale-watch target/tarragonsill "$here/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
