#!/bin/sh
# Runs the case and writes record.txt beside this file. Exit status: 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. With TROUBLE=0 the same runs without the disruption.
cd "$(dirname "$0")/../.." && [ -x target/review/stand ] || exit 2
exec target/review/stand withdrawn review/2
