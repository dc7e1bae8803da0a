"""Public interface: the policy of a gateway, which enforces customers' quotas for a shared API."""

from quota_gateway import api
from quota_gateway.api import *  # noqa: F403  api.__all__ lists the names
from quota_gateway.policy.gateway import Gateway

__all__ = ["Gateway"]
__all__ += api.__all__
