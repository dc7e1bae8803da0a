"""brackenloft: the decisions of a quota-keeping gateway for a shared API."""

from brackenloft import interface
from brackenloft.interface import *  # noqa: F403  its __all__ is the list
from brackenloft.policy.gateway import Gateway

__all__ = ["Gateway"]
__all__ += interface.__all__
