"""Checks and bounds the values of an instrument's labels."""

from geraniumrail.metrics.label_caps import LabelCaps
from geraniumrail.metrics.spec import Spec

LabelKey = tuple[str, ...]
# Saves the look-up in the caps for the values in use; callers can make up more of them.
_MAX_KEPT = 1024


class WrongLabelsError(TypeError):
    """An instrument was given another number of label values than it has labels."""


class Labels:
    """The labels of one instrument."""

    def __init__(self, spec: Spec, caps: LabelCaps) -> None:
        """Prepares the labels.

        :param spec: the instrument.
        :param caps: shared by all instruments, so that a value has the same name in all of them.
        """
        self._spec = spec
        self._caps = caps
        self._keys_by_texts: dict[LabelKey, LabelKey] = {}

    def key(self, texts: LabelKey) -> LabelKey:
        """Returns the values to record, in the order of the labels.

        :param texts: values in the order of the labels.
        :raises WrongLabelsError: if the number of values is wrong.
        """
        known = self._keys_by_texts.get(texts)
        if known is not None:
            return known
        names = self._spec.labels
        if len(names) != len(texts):
            raise WrongLabelsError(f'{self._spec.name} has the labels {names}, got {texts}')
        admitted = (self._caps.admit(name, text) for name, text in zip(names, texts, strict=True))
        key = tuple(admitted)
        if len(self._keys_by_texts) < _MAX_KEPT:
            self._keys_by_texts[texts] = key
        return key

    def attributes(self, key: LabelKey) -> dict[str, str]:
        """Returns the attributes of OpenTelemetry.

        :param key: result of `key`.
        """
        return dict(zip(self._spec.labels, key, strict=True))
