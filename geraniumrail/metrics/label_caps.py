"""Bounds the number of values of each label."""

OTHER = 'other'
DEFAULT_CAP = 32
# Callers choose route names (the first part of a path), and replicas get a new id with each new
# data folder. Without a cap each new value would take memory until the process ends.
CAPS_BY_LABEL = {'organisation': 64, 'route': 32, 'service': 32, 'replica': 16, 'outcome': 48}


class LabelCaps:
    """The first values of a label keep their name; the rest are counted as `other`."""

    def __init__(self, caps_by_label: dict[str, int] | None = None) -> None:
        """Starts without values.

        :param caps_by_label: greatest number of values of each label.
        """
        self._caps_by_label = CAPS_BY_LABEL if caps_by_label is None else caps_by_label
        self._values_by_label: dict[str, set[str]] = {}

    def admit(self, label: str, text: str) -> str:
        """Returns the value to record.

        :param label: name of the label.
        :param text: value of the label.
        """
        admitted = self._values_by_label.setdefault(label, set())
        if text in admitted:
            return text
        if len(admitted) >= self._caps_by_label.get(label, DEFAULT_CAP):
            return OTHER
        admitted.add(text)
        return text
