"""The operators' topic as the project's configuration reader sees it."""

from __future__ import annotations

from briarseam.platform import configuration
from briarseam.platform import names


class OperatorDocuments:
    """Decodes the records of the operators' topic."""

    decode_configuration = staticmethod(configuration.decode_configuration)
    decode_weight_goal = staticmethod(configuration.decode_weight_goal)
    is_weight_goal = staticmethod(configuration.is_weight_goal)

    def is_configuration(self, key: str) -> bool:
        """Tell whether a key names the configuration."""
        return key == names.CONFIGURATION_KEY
