#!/bin/sh
# Builds the stand-ins of the scripted cases.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/stand"
go build -o "$root/target/review-stand" .
