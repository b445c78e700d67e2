#!/bin/sh
# Builds the program as deploy/system.toml does, and the stand-ins of the scripts.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o target/review/standins ./review/standins
