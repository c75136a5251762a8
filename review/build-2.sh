#!/usr/bin/env bash
# Builds the program of the scripts of the second review, with its stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig-2 ./review/rig-2
