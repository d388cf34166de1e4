#!/bin/sh
# Writes record.txt. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && command -v node > /dev/null || exit 2
exec node case.js
