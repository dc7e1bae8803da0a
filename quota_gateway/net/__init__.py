"""Network side of the gateway process.

Turns what happens on sockets into events for the policy (``quota_gateway.policy``) and carries out the
actions that the policy returns. Makes no policy decisions itself.
"""
