#!/bin/sh
# Runs the Reykjavik deployment with six entry VM processes in the lab, while one
# entry VM is killed and one upstream is drained: demo.sh BUILD.
set -eu
build="$1"
echo "Reykjavik: 6 entry VMs, 18 upstreams, 10 seconds."
echo "At second 3 one entry VM is killed; at second 5 upstream app-3 is drained."
"$build/tarragonsill-lab" run --deployment reykjavik --entries 6 \
  --seconds 10 --seed 1 --flows 2000 --rate 50 \
  --event kill-entry@3 --event drain-upstream:app-3@5 && status=0 || status=$?
if [ "$status" -eq 0 ]; then
  echo "All guarantees held."
else
  echo "A guarantee was violated or the run failed (status $status)." >&2
fi
exit "$status"
