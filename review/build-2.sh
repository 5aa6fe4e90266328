#!/bin/sh
# Builds the stand-ins and the runner of the second review's scripts. The deploy file's build comes
# before it.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-second ./review/second
