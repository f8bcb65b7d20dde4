"""What an entry tells the control leader of a prompt part or a request under suspicion."""

from geraniumrail.core.codec import record


@record
class SoundPart:
    """An answer to a request with this part has begun, and its backend server went on."""

    service: str
    part: str  # prompt part, or fingerprint of a request
    age_s: float = 0  # since the answer began, when the note was sent
