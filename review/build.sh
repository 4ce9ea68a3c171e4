#!/bin/sh
# Builds the stand-ins of the cases. They have no dependencies, so that no network is needed.
cd "$(dirname "$0")/standin" || exit 2
exec cargo build --release --offline --locked
