"""Records the events and actions of gateways, and replays recordings to compare versions.

A development tool, never loaded by ``run``. Two versions of the decision code are the same if each returns
the recorded actions for every event when it replays the other's recordings. A recording is lines of JSON: a
head, ``open`` for each gateway with its settings and seed, one line for each event with its actions, and an
``end`` with the number of events, without which a recording is known to be cut off.
"""
