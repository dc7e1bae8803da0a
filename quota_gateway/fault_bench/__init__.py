"""Several real gateways as processes, stand-ins around them, faults between them, and a referee outside.

An extra: the gateway imports none of it. The servers' behaviour, the meter and the rules are the lab's.
"""
