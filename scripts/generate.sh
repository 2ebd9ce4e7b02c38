#!/usr/bin/env bash
# Regenerates the committed protobuf code.
set -euo pipefail
cd "$(dirname "$0")/../src/wire"
protoc --cpp_out=generated --grpc_out=generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" rhubarblane.proto
protoc --cpp_out=generated relay.proto
# The generated files include each other relative to src/.
sed -i 's@#include "\(rhubarblane\|relay\)\.@#include "wire/generated/\1.@' generated/*
