#!/bin/bash
# usage: run-scenario.sh SCENARIO FOLDER
# Runs a scenario of the stand-ins and writes FOLDER/record.txt. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/tarragonsill
stand_ins=$PWD/target/review-2/stand-ins
if [ ! -x "$program" ] || [ ! -x "$stand_ins" ]; then
  echo "build with the line of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout -k 3 112 "$stand_ins" "$1" "$program" "$2/record.txt" "$directory"
status=$?
if [ "$status" -gt 2 ]; then
  status=2
fi
exit "$status"
