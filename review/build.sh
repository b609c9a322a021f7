#!/usr/bin/env bash
# Builds the stand-ins of all scripts of this review into target/review/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review/standin .
