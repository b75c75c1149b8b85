#!/bin/bash
# Exits with 1 if two holders take turns at one engine within lease_ms, 0 if
# not, 2 if the case can't run. TROUBLE=0: without the SIGTERM.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
