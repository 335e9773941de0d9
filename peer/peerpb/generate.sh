#!/bin/sh
# Generates peer.pb.go and peer.twirp.go. Needs protoc (Debian: protobuf-compiler);
# the plugins are tool dependencies of the module.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
protoc --plugin="$bin/protoc-gen-go" --plugin="$bin/protoc-gen-twirp" \
	--go_out=. --go_opt=paths=source_relative \
	--twirp_out=. --twirp_opt=paths=source_relative peer.proto
# Records the digest of the source of the generated files; CI compares it.
sha256sum peer.proto | cut -d' ' -f1 > peer.proto.sha256
