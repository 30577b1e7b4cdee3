#!/bin/sh
# Generated schedules and lab runs with another seed: schedules.sh BUILD SEED.
set -eu
build="$1"
seed="$2"
RC_PARAMS="seed=$seed max_success=2000" "$build/tarragonsill-tests" -sg Schedules
tools/events.py "$build" --flows 5000 --rate 100 --seeds "$seed"
