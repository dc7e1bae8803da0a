"""Rolls a change of the settings or of the program out to many gateways in stages.

After each stage the changed gateways are compared with the others; where they do worse, the change is rolled
back. An optional tool for operators: the gateway imports none of it.
"""
