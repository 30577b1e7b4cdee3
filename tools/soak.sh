#!/bin/sh
# Random faults against real nodes: soak.sh BUILD SEED [SECONDS] [ENTRIES].
# Exits with 1 if a rule was broken; events and logs are kept then.
set -eu
build="$1"
seed="$2"
"$build/tarragonsill-lab" soak --seed "$seed" --seconds "${3:-30}" \
  --entries "${4:-6}"
