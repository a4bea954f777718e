#!/usr/bin/env bash
# Runs the case reset-after-stop; see claim.txt and ../run-case. TROUBLE=0
# leaves out the disruption.
exec "$(dirname "$0")/../run-case" reset-after-stop "$(dirname "$0")"
