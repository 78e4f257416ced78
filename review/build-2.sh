#!/bin/bash
# Builds the stand-ins of the cases in review/6 to review/10.
cd "$(dirname "$0")/.." || exit 2
exec go build -ldflags=-linkmode=external -o target/stand-2 ./review/_stand-2
