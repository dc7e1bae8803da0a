"""The simulation: a model of the fleet in virtual time, judged by the rules, with a ledger of value lost.

An extra (``pip install .[lab]``), written from the public pages; the gateway imports none of it.
"""
