#!/usr/bin/env bash
# Generates the Go code of membership.proto with the generator pinned in go.mod.
# Needs protoc.
set -eu
cd "$(dirname "$0")"
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go
protoc --plugin="$tools/protoc-gen-go" --proto_path=. --go_out=. \
  --go_opt=paths=source_relative membership.proto
