"""Lifecycle of a gateway process: build its parts, take over from a predecessor, serve and shut down."""
