"""The policy: a gateway's decisions, one module for each; the module ``gateway`` combines them.

Nothing here opens a socket or reads a clock: the time comes with each event.
"""
