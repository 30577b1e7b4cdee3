#!/bin/sh
# Short soaks that must keep every rule, and four that must not:
# soak-tests.sh BUILD. Seeds that failed once stay here, with their cause.
set -eu
build="$1"
soak() {
  "$build/tarragonsill-lab" soak "$@"
}
# 7: a signal that came before the process had blocked it ended the process.
soak --seed 7 --seconds 25 --entries 6 --network 1 --without store_rollback
# 11: data that was repeated late, by thirty flows at once, made a VM give up a
# living upstream.
soak --seed 11 --seconds 25 --entries 6 --network 2 --without store_rollback
# 15: a VM stood still, then answered openings that had waited; stand-in upstreams
# took them for new flows.
soak --seed 15 --seconds 25 --entries 6 --network 4 --without store_rollback
# A store that comes back older, twice in a row too: six times in 32 s.
soak --seed 2 --seconds 40 --entries 6 --network 5 --only store_rollback
# Each check has to notice what breaks its rule.
kept=$(mktemp -d)
trap 'rm -rf "$kept"' EXIT
for mutant in stale-vm false-reset no-restart no-era; do
  status=0
  soak --seed 3 --seconds 30 --entries 4 --network 3 --mutant "$mutant" \
    --keep "$kept/$mutant" || status=$?
  [ "$status" -eq 1 ] || { echo "mutant $mutant was not noticed"; exit 1; }
done
