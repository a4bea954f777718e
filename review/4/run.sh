#!/usr/bin/env bash
# Runs the case drain-after-restore; see claim.txt and ../run-case. TROUBLE=0 leaves out the
# disruption.
exec "$(dirname "$0")/../run-case" drain-after-restore "$(dirname "$0")"
