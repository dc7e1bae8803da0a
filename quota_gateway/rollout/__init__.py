"""A change of settings or program rolled over many gateways in stages, judged at each, with a way back.

An extra, on the operators' side: the gateway imports none of it.
"""
