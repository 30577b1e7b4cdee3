#!/bin/sh
# Runs the benchmarks: bench.sh BUILD. Times are only reported; limits apply to
# counts that are the same in every run.
set -eu
build="$1"
status=0

"$build/tarragonsill-bench" --benchmark_min_time=0.05 2>/dev/null
"$build/tarragonsill-counted" packets || status=1
"$build/tarragonsill-counted" control --cores 7 || status=1
"$build/tarragonsill-counted" control --cores 50 || status=1
"$build/tarragonsill-counted" loads --vms 17 --upstreams 38 || status=1
"$build/tarragonsill-counted" loads --vms 75 --upstreams 250 || status=1

# Counts the instructions of one packet as the difference of two runs, so that
# setup cancels out.
instructions() {
  valgrind --tool=callgrind --callgrind-out-file=/dev/null \
    "$build/tarragonsill-counted" pass --kind "$1" --flows "$2" \
    --packets "$3" 2>&1 | awk '/Collected/ { print $4 }'
}
cost() {
  few=$(instructions "$1" "$2" 1000)
  many=$(instructions "$1" "$2" 21000)
  echo $(( (many - few) / 20000 ))
}
# One million packets a second on a core of 2 GHz that completes one
# instruction a cycle leaves 2,000 instructions for a packet.
limit=2000
for kind in untracked answer miss cookie; do
  small=$(cost $kind 10000)
  if [ "$small" -le "$limit" ]; then word="ok     "; else word=BROKEN; status=1; fi
  echo "$word  $kind packet, 10,000 flows: $small instructions (at most $limit)"
done
small=$(cost untracked 10000)
for flows in 50000 200000; do
  large=$(cost untracked "$flows")
  # The cost must not grow by more than a tenth with the number of flows.
  if [ $((large * 10)) -le $((small * 11)) ]; then word="ok     "; else word=BROKEN; status=1; fi
  echo "$word  untracked packet, $flows flows: $large instructions (at most 1.1 times $small)"
done
exit $status
