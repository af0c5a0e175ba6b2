#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
