#!/usr/bin/env bash
# Builds the stand-ins of review/6 and the following cases. The program itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/standin2 ./review/standin2
