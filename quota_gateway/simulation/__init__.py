"""Simulates a fleet of gateways in virtual time, checks the platform's rules and accounts for the value lost.

Needs the extra ``pip install .[simulation]``. The package is written from the public documentation,
and the gateway itself imports nothing from it.
"""
