#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
exec python3 "$(dirname "$0")/run.py"
