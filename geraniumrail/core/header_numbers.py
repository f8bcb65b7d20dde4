"""Numbers in messages of others; what is out of range is refused where it is decoded.

Python's `isdigit` and `int` disagree about some characters and about very long numbers, and the
links between daemons can't carry integers of more than 64 bits.
"""

import math
import re
from typing import Annotated

import msgspec

MAX_WHOLE = 2**53
Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
_DIGITS = re.compile('[0-9]{1,15}')


def whole(text: str) -> int | None:
    """Returns a whole number that is not negative, or None if the text is none.

    :param text: of a header.
    """
    stripped = text.strip()
    return int(stripped) if _DIGITS.fullmatch(stripped) else None


def number(text: str) -> float | None:
    """Returns a finite number, or None if the text is none.

    :param text: of a header.
    """
    try:
        found = float(text)
    except ValueError:
        return None
    return found if math.isfinite(found) else None
