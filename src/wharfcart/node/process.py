"""Entry point of the serving processes: ``python -m wharfcart.node.process gateway|storage``.

It is separate from the operators' command line, so that a process loads only what its role needs.
Because a gateway may have to listen before the rest is loaded, this module imports only what
listening requires and loads everything else afterwards.
"""

import gc
import os
import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # Ends no process that can't reload yet: its settings are read after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from wharfcart.node.early_listening import open_unless_peer_responds

SETTINGS_VARIABLE = "WHARFCART_SETTINGS"  # path of the settings file
DEFAULT_SETTINGS = "wharfcart.toml"
EXIT_USAGE = 2


def main() -> None:
    """Run the role given by the first argument until SIGTERM."""
    # Nearly all objects created at the start are permanent, so collecting garbage would only slow
    # the start down, by an eighth. ``roles`` enables it again.
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
    """Run a gateway with the settings in a file."""
    sockets = open_unless_peer_responds(path, os.environ)
    from wharfcart.node import roles

    roles.run_gateway(path, sockets)


def run_storage(path: Path) -> None:
    """Run a storage node with the settings in a file."""
    from wharfcart.node import roles

    roles.run_storage(path)


if __name__ == "__main__":
    main()
