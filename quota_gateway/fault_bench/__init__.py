"""Runs several real gateway processes against stand-ins for servers and discovery, and injects faults.

A referee outside of them checks the recorded history against the rules. The gateway itself imports nothing
from here. The model of the servers, the meter and the rules come from ``quota_gateway.simulation``.
"""
