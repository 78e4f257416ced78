#!/bin/bash
# Power loss of all VMs; servers take 0.3 s to listen. Exit: 1 rule broken, 0 held, 2 not run.
# TROUBLE=0 leaves the power on. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/stand-2 -program target/bergamotflow -record review/6/record.txt boot
