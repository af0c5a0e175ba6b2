#!/bin/bash
# Builds the stand-ins of the cases into review/bin/.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/standin ./review/standin
