// Package peerpb holds the messages and the twirp service that instances offer
// each other. The generated files are committed.
package peerpb

//go:generate sh generate.sh
