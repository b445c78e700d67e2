#!/usr/bin/env bash
# Builds the stand-ins of the second review's script cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/standins-2 ./review/standins-2
