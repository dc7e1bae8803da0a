"""The decisions of a gateway, one module for each; the module ``gateway`` combines them.

Nothing here opens a socket or reads a clock: the time comes with each event.
"""
