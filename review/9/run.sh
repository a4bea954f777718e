#!/usr/bin/env bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --signal=TERM 110 build-review/case-9
