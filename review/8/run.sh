#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
[ -x target/merlinhalld ] && [ -x target/rig-2 ] || { echo "not built" >&2; exit 2; }
exec timeout --kill-after=5 115 target/rig-2 all-killed "$folder/record.txt"
