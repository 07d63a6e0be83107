"""wharfcart: online and batch inference on one shared fleet.

The variable below is set before any event loop is made: uvloop 0.21 and 0.22 open an io_uring
unless it is ``0`` (docs/design/0001-shape.md).
"""

import os

os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"
