"""Entry of the serving processes: ``python -m wharfcart.node.process gateway|storage``.

Apart from the command line of operators, so that a process loads only what its role needs. A
gateway may have to listen before anything else is loaded: this module imports what that takes, and
everything else once it is done.
"""

import gc
import os
import sys
from pathlib import Path

from wharfcart.node.early_listening import open_unless_peer_responds

SETTINGS_VARIABLE = "WHARFCART_SETTINGS"  # names the settings file
DEFAULT_SETTINGS = "wharfcart.toml"
EXIT_USAGE = 2


def main() -> None:
    """Run the role named by the first argument until SIGTERM."""
    # Nearly everything that is made while a process starts stays: to look through it for garbage
    # again and again takes an eighth of the start. ``roles`` switches it on again.
    gc.disable()
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    if role == "gateway":
        run_gateway(path)
    elif role == "storage":
        run_storage(path)
    else:
        print("usage: process gateway|storage", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def run_gateway(path: Path) -> None:
    """Run a gateway with the settings of a file."""
    sockets = open_unless_peer_responds(path, os.environ)
    from wharfcart.node import roles

    roles.run_gateway(path, sockets)


def run_storage(path: Path) -> None:
    """Run a storage node with the settings of a file."""
    from wharfcart.node import roles

    roles.run_storage(path)


if __name__ == "__main__":
    main()
