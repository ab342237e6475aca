"""The decoder of operators' documents that the configuration reader uses."""

from __future__ import annotations

from briarseam.platform import configuration
from briarseam.platform import names


class OperatorDocuments:
    """Decodes the records of the operators' topic."""

    decode_configuration = staticmethod(configuration.decode_configuration)
    decode_weight_goal = staticmethod(configuration.decode_weight_goal)
    is_weight_goal = staticmethod(configuration.is_weight_goal)
    evacuated_zone = staticmethod(configuration.evacuated_zone)

    def is_configuration(self, key: str) -> bool:
        """Return whether a key is that of the configuration."""
        return key == names.CONFIGURATION_KEY
