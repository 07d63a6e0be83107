"""Grammar of values that peers send in HTTP messages and event streams (RFC 9110, RFC 9112).

Python's own notions are wider: ``str.isdigit`` is true for digits that ``int`` refuses, ``int`` and
``float`` accept signs, underscores, other scripts and ``nan``, and ``int`` raises above 4,300
digits. A value that matches a function here converts without an error.
"""

import re

# Fits a signed 64-bit integer, as in the messages between nodes and in the tables on disk.
MAX_DIGITS = 18
_DIGITS = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")
_DECIMAL = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,15})?")
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"/[!-~]*")
_FIELD_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
_OPTIONAL_WHITESPACE = " \t"


def parse_whole_number(text: str) -> int | None:
    """Return a number of at most 18 ASCII digits; None if the text is anything else."""
    text = text.strip(_OPTIONAL_WHITESPACE)
    return int(text) if _DIGITS.fullmatch(text) else None


def parse_decimal(text: str) -> float | None:
    """Return a number without sign and exponent; None if the text is anything else."""
    text = text.strip(_OPTIONAL_WHITESPACE)
    return float(text) if _DECIMAL.fullmatch(text) else None


def is_field_name(name: str) -> bool:
    """Whether a text is the name of a header field."""
    return _TOKEN.fullmatch(name) is not None


def is_field_value(value: str) -> bool:
    """Whether a text can be sent as the value of a header field."""
    return _FIELD_VALUE.fullmatch(value) is not None


def is_target(target: str) -> bool:
    """Whether a text can be sent as the path and query of a request."""
    return _TARGET.fullmatch(target) is not None
