#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into target/. The build line of
# deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig-3
