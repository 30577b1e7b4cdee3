#!/bin/sh
# Injects random faults into VM processes: soak.sh BUILD SEED [SECONDS] [ENTRIES].
# Exits with 1 and keeps events and logs if a guarantee was violated.
set -eu
build="$1"
seed="$2"
"$build/tarragonsill-lab" soak --seed "$seed" --seconds "${3:-30}" \
  --entries "${4:-6}"
