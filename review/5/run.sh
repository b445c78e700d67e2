#!/bin/sh
# Plays the case lone-survivor with the built programs; see claim.txt. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
for program in target/banyancross target/review/standins; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run review/build.sh first" >&2
    exit 2
  fi
done
exec target/review/standins -case lone-survivor -trouble=$trouble -program target/banyancross -record review/5/record.txt
