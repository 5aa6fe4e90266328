#!/bin/sh
# Builds the programs that the scripts of the third review start, besides that of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/third ./review/third
