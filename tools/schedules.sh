#!/bin/sh
# Runs the generated schedules and the lab events with a given seed:
# schedules.sh BUILD SEED.
set -eu
build="$1"
seed="$2"
RC_PARAMS="seed=$seed max_success=2000" "$build/tarragonsill-tests" -sg Schedules
tools/events.py "$build" --flows 5000 --rate 100 --seeds "$seed"
