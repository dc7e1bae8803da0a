"""The lab: a model of the fleet in virtual time, with a ledger that says where worth was lost, and a referee.

An extra (``pip install .[lab]``), written from the public pages; the gateway imports none of it.
"""
