// Package peerpb contains the messages and twirp services of the protocol between
// instances, generated from peer.proto. The generated files are committed.
package peerpb

//go:generate sh generate.sh
