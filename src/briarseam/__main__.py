"""``python -m briarseam``."""

from __future__ import annotations

import sys

from briarseam import run

if __name__ == "__main__":
    sys.exit(run.run())
