#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They use the standard library alone.
cd "$(dirname "$0")/stand-ins-2" && cargo build --release --locked --offline
