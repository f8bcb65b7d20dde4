"""A gauge with checked and bounded labels."""

from collections.abc import Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from geraniumrail.metrics.label_caps import LabelCaps
from geraniumrail.metrics.labels import LabelKey, Labels
from geraniumrail.metrics.spec import Spec


class Gauge:
    """The latest value of each combination of labels, read when metrics are exported."""

    def __init__(self, meter: Meter, spec: Spec, caps: LabelCaps) -> None:
        """Creates the instrument.

        :param meter: OpenTelemetry meter.
        :param spec: name, unit and labels.
        :param caps: bounds of the labels.
        """
        self._labels = Labels(spec, caps)
        self._amounts: dict[LabelKey, float] = {}
        meter.create_observable_gauge(spec.name, (self._observe,), spec.unit, spec.about)

    def set(self, amount: float, *labels: str) -> None:
        """Sets the value for one combination of labels.

        :param amount: in the unit of the instrument.
        :param labels: values in the order of the labels.
        :raises WrongLabelsError: if the number of values is wrong.
        """
        self._amounts[self._labels.key(labels)] = amount

    def replace(self, amounts_by_labels: Mapping[LabelKey, float]) -> None:
        """Sets all values; a combination that is not given is not exported any more.

        Values that share the label `other` are added up.

        :param amounts_by_labels: values by combination of labels.
        :raises WrongLabelsError: if the number of label values is wrong.
        """
        totals: dict[LabelKey, float] = {}
        for labels, amount in amounts_by_labels.items():
            key = self._labels.key(labels)
            totals[key] = totals.get(key, 0) + amount
        self._amounts = totals

    def _observe(self, options: CallbackOptions) -> Iterable[Observation]:
        # A copy, because an exporter with a thread of its own may call this while `set` runs.
        amounts = self._amounts.copy()
        return [
            Observation(amount, self._labels.attributes(key)) for key, amount in amounts.items()
        ]
