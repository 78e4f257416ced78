#!/bin/bash
# Builds the stand-ins of the cases in review/11 to review/15.
cd "$(dirname "$0")/.." || exit 2
exec go build -ldflags=-linkmode=external -o target/stand-3 ./review/_stand-3
