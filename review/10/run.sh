#!/bin/bash
# Exits with 1 if an item stands at two positions, 0 if none does, 2 if the case
# can't run. TROUBLE=0: without the spoiled byte and the kill.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
