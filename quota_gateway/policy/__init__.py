"""The decisions, a module each; `gateway` builds them and has the table of which part takes which event.

They know no sockets and no clock: an event and its time go in, actions come out. Each part is given the
`Context` and the parts below it. Imports go one way, from `gateway` down (`tests/test_limits.py`).
"""
