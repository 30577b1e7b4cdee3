#!/bin/sh
# Runs short soaks in which all guarantees must hold, and four with an injected
# defect that must be detected: soak-tests.sh BUILD. The seeds below failed once;
# the comments give the causes.
set -eu
build="$1"
soak() {
  "$build/tarragonsill-lab" soak "$@"
}
# Standstills of upstreams beside changes of the VMs are left to the long soaks
# that are run by hand.
# 7: a signal that arrived before the process had blocked it ended the process.
soak --seed 7 --seconds 25 --entries 6 --network 1 \
  --without store_rollback --without suspend_upstream
# 11: thirty flows retransmitted data late at the same time, which made a VM
# treat a live upstream as failed.
soak --seed 11 --seconds 25 --entries 6 --network 2 \
  --without store_rollback --without suspend_upstream
# 15: a VM was paused and then processed the opening packets that had queued up;
# the stand-in upstreams treated them as new flows.
soak --seed 15 --seconds 25 --entries 6 --network 4 \
  --without store_rollback --without suspend_upstream
# 514: upstreams stood still for up to 2.5 s, and their open flows were reset.
soak --seed 514 --seconds 25 --entries 12 --network 7 --only suspend_upstream
# Six store rollbacks in 32 s, among them two in a row.
soak --seed 2 --seconds 40 --entries 6 --network 5 --only store_rollback
# A soak that cannot check anything fails: seed 6 draws no rollback in 30 s.
status=0
soak --seed 6 --seconds 30 --network 6 --only store_rollback || status=$?
[ "$status" -eq 2 ] || { echo "an empty soak ended with $status"; exit 1; }
# Each check must detect the defect that violates its guarantee.
kept=$(mktemp -d)
trap 'rm -rf "$kept"' EXIT
for mutant in stale-vm false-reset no-restart no-era; do
  status=0
  soak --seed 3 --seconds 30 --entries 4 --network 3 --mutant "$mutant" \
    --keep "$kept/$mutant" || status=$?
  [ "$status" -eq 1 ] || { echo "mutant $mutant was not detected"; exit 1; }
done
