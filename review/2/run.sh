#!/usr/bin/env bash
# Runs the case torn-listing; see claim.txt and ../run-case. TROUBLE=0 leaves out the
# disruption.
exec "$(dirname "$0")/../run-case" torn-listing "$(dirname "$0")"
