"""``python -m wharfcart``: the same program as the ``wharfcart`` command."""

from wharfcart.cli.main import main

main()
