#!/usr/bin/env bash
# Plays the case in this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standins-2 ] && [ -x target/banyancross ] || exit 2
exec target/standins-2 crashing-request review/9
