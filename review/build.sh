#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. It needs no network: they use the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standins ./review
