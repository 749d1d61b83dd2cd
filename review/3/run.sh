#!/bin/sh
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/topazpath ] || exit 2
exec timeout -k 5 115 python3 case.py
