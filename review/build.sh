#!/bin/sh
# Builds what the scripts of the cases start besides the programs of the deploy file:
# out/review/lab, with the stand-ins for the store, engines and clients. It needs no
# network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out/review
GOPROXY=off go build -tags review -o out/review/lab ./review/lab
