"""The whole configuration under one version."""

from geraniumrail.core.codec import record
from geraniumrail.deployment.http_limits import HttpLimits
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.deployment.route import Route
from geraniumrail.deployment.service import ServiceSpec


@record
class Deployment:
    """Replaced as a whole; the highest version wins.

    Invariant: a deployment in the log has passed `check.check`.
    """

    version: int = 0  # 0: none yet
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: HttpLimits = HttpLimits()
    source: bytes = b''  # the document as it was sent, for reading it back

    def service(self, name: str) -> ServiceSpec | None:
        """Returns a service, or None.

        :param name: its name.
        """
        return next((each for each in self.services if each.name == name), None)
