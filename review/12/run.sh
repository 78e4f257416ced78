#!/bin/bash
# A balancer stands still for 3.5 s while a route leads to another service; later the others are restarted
# as planned, one at a time. Exit: 1 rule broken, 0 held, 2 not run. With TROUBLE=0 the balancer does not stand
# still. Needs the build of deploy/system.toml and review/build-3.sh. Takes 90 s.
cd "$(dirname "$0")/../.." || exit 2
exec target/stand-3 -program target/bergamotflow -record review/12/record.txt missed
