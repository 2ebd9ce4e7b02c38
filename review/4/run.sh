#!/bin/sh
# TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case.sh" "$(cd "$(dirname "$0")" && pwd)"
