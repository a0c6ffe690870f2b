#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
# With 0 the same is done without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py
