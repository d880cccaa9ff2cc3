#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit: 1 broken, 0 held, 2 couldn't run.
exec python3 "$(dirname "$0")/case.py"
