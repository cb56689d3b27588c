#!/bin/bash
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-classes ] || exit 2
exec java -Xmx400m -Dsun.net.httpserver.nodelay=true -cp target/review-classes:target/woadloom.jar recovered.RecoveredMachineCase review/3
