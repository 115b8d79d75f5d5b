#!/bin/sh
# Plays the case plain-prefix. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/sapphireringd target/review-3; do
	if [ ! -x "$program" ]; then
		echo "not run: $program is missing: build as deploy/system.toml says, then run review/build-3.sh"
		exit 2
	fi
done
exec target/review-3 plain-prefix target/sapphireringd review/13/record.txt
