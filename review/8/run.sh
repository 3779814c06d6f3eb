#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=review/stand-ins-2/target/release/review-stand-ins-2
[ -x "$program" ] && [ -x target/release/nutmegbay-edge ] || exit 2
exec "$program" killed-together "$folder"
