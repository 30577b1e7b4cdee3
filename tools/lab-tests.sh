#!/bin/sh
# Lab runs in which all guarantees must hold: lab-tests.sh BUILD.
set -eu
build="$1"
for deployment in reykjavik amman; do
  "$build/tarragonsill-lab" run --deployment "$deployment" --entries 6 \
    --seconds 5 --seed 1 --flows 1200 --json
done
"$build/tarragonsill-lab" run --entries 6 --seconds 8 --seed 2 --flows 2000 \
  --event drain-upstream@3 --event kill-entry@4 --json
"$build/tarragonsill-lab" run --entries 6 --seconds 12 --seed 3 --flows 2000 \
  --event cut-zone@3 --event heal-zone@8 --json
"$build/tarragonsill-lab" run --entries 6 --seconds 5 --seed 4 --flows 1000 \
  --loss 0.02 --duplicate 0.02 --reorder 0.05 --json
# A missing directory is created. If that fails, the error names the directory.
kept=$(mktemp -d)
trap 'rm -rf "$kept"' EXIT
"$build/tarragonsill-lab" run --entries 3 --seconds 2 --flows 100 \
  --directory "$kept/made/here" --json
[ -s "$kept/made/here/configuration.yaml" ]
status=0
"$build/tarragonsill-lab" run --directory /dev/null/none 2>"$kept/error" ||
  status=$?
[ "$status" -eq 2 ]
grep -q 'directory /dev/null/none: cannot create the directory' "$kept/error"
status=0
"$build/tarragonsill-lab" run --event 'no-such-event@1' 2>/dev/null || status=$?
[ "$status" -eq 2 ]
