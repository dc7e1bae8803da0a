"""quota_gateway: the decisions of a quota-keeping gateway for a shared API."""

from quota_gateway import api
from quota_gateway.api import *  # noqa: F403  its __all__ is the list
from quota_gateway.policy.gateway import Gateway

__all__ = ["Gateway"]
__all__ += api.__all__
