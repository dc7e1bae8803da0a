"""Recordings of what the decisions were told and did, and their player: a tool, never loaded by ``run``.

Two versions of the decisions are the same when one answers the other's recordings action by action. A
recording is lines of JSON: a head, ``open`` for each gateway with its settings and seed, one line for each
event with its actions, and an ``end`` that says how many there were, so that one cut off is known as such.
"""
