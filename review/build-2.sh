#!/bin/sh
# Builds the stand-ins and the clients of the cases of the second review, after the build of the
# deploy file. They need nothing that the project does not declare.
set -e
cd "$(dirname "$0")/.."
go build -o target/harness2 ./review/harness2
