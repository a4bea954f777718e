#!/usr/bin/env bash
# Runs the case config-after-restore; see claim.txt and ../run-case. TROUBLE=0 leaves out the
# disruption.
exec "$(dirname "$0")/../run-case" config-after-restore "$(dirname "$0")"
