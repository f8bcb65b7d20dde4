"""What decoding bytes from outside raises: JSON, msgpack, and text in them such as addresses."""

import msgspec

# The last for values that are nested thousands deep.
MALFORMED = (msgspec.MsgspecError, ValueError, RecursionError)
