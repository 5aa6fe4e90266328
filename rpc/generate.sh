#!/usr/bin/env bash
# Generates the Go code of rpc/$1/$1.proto with the generators pinned in go.mod.
# Needs protoc. Usage: generate.sh NAME, from any folder.
set -eu
cd "$(dirname "$0")"
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
protoc --plugin="$tools/protoc-gen-go" --plugin="$tools/protoc-gen-twirp" \
  --proto_path="$1" --go_out="$1" --go_opt=paths=source_relative \
  --twirp_out="$1" --twirp_opt=paths=source_relative "$1.proto"
