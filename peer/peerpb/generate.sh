#!/bin/sh
# Generates peer.pb.go and peer.twirp.go. The plugins are tool dependencies of the
# module; protogen compiles the proto file.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp ../../internal/protogen
"$bin/protogen" peer.proto "$bin/protoc-gen-go=paths=source_relative" "$bin/protoc-gen-twirp=paths=source_relative"
# Records the digest of the source of the generated files; CI compares it.
sha256sum peer.proto | cut -d' ' -f1 > peer.proto.sha256
