#!/bin/sh
# Regenerates the committed protobuf and gRPC code. Requires the packages
# protobuf-compiler and protobuf-compiler-grpc, which the build does not.
set -eu
cd "$(dirname "$0")/../src"
out=tarragonsill/protocol/generated
protoc -I tarragonsill/protocol --cpp_out="$out" \
  tarragonsill_peer.proto tarragonsill_calls.proto \
  tarragonsill_knowledge.proto
protoc -I tarragonsill/protocol --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  tarragonsill_calls.proto tarragonsill_knowledge.proto
