#!/usr/bin/env bash
# Requests at workers that have left. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
target/standin-2 left target/coltsfootscale review/7/record.txt "$folder"
