#!/bin/bash
# Builds the stand-ins of the cases into review/bin/.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
