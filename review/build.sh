#!/bin/sh
# Prepare what the scripts of the review start, after the build of the deploy
# file: the stand-ins are Python modules, which are compiled here.
set -eu
root=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
cd "$root"
PYTHONPATH="$root/target/deps:$root" python3 - <<'END'
import tests.platform.engine
import tests.platform.metadata_store
import tests.platform.worker

import review.harness
END
