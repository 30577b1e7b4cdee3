#!/bin/sh
# Checks that dependencies point only to lower layers and that the core includes
# no sockets, actors or gRPC.
set -eu
cd "$(dirname "$0")/../src/tarragonsill"
status=0
forbid() {
  # forbid LAYER PATTERN TEXT
  if grep -nE "#include *[<\"]($2)" -r "$1" --exclude-dir=generated; then
    echo "layering: $1 must not include $3" >&2
    status=1
  fi
}
outside='caf/|grpc|sys/socket|netinet/|arpa/|httplib|log4cxx|thread>|mutex>'
for layer in state coordination protocol declare; do
  forbid "$layer" "$outside" "sockets, actors, gRPC, logs or threads"
  forbid "$layer" "tarragonsill/transport/" "the transport layer"
  forbid "$layer" "tarragonsill/cli/" "the command line"
done
forbid state "tarragonsill/(coordination|protocol)/" "a layer above it"
forbid protocol "tarragonsill/coordination/" "a layer above it"
if grep -nE 'system_clock|steady_clock::now|Clock::now|std::rand\b|random_device|sleep_for' \
  -r state coordination protocol; then
  echo "layering: the core must not read clocks, sleep or use unseeded random numbers" >&2
  status=1
fi
forbid platform "tarragonsill/(transport|coordination)/" "the transport or coordination layer"
forbid platform "$outside" "sockets, actors, gRPC, logs or threads"
names='coldLeftMs|coldRateS|packetAddr|pathPrefix|currentRev|waitMs|serializable'
names="$names|heartbeatIntervalMs|internalPortRange|idleTimeoutMs|drainMs"
names="$names|configPropagationMs|evacuationDelayMs|warmupBurstFactor|coldSlack"
names="$names|[sS]tore-[eE]ra|deletePending|tombstone|finalizers|proxyMode|healthPath"
if grep -nE "\\b($names)\\b" -r . --exclude-dir=platform; then
  echo "layering: names of the platform's formats may be used only in platform/" >&2
  status=1
fi
exit $status
