#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no wrong bytes.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 3 118 python3 review/3/case.py
