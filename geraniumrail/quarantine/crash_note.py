"""What an entry tells the control leader of a backend server that has crashed."""

from geraniumrail.core.codec import record


@record
class CrashNote:
    """A backend server ended while requests of one entry waited for their answers to begin."""

    service: str
    instance: str
    incarnation: int
    # Of each of these requests: its shared prompt parts and its fingerprint.
    requests: tuple[tuple[str, ...], ...]
    age_s: float = 0  # since the crash, when the note was sent
