"""Work in hand that outlives its process: what is written down before each effect, and who may go on with it.

An extra, off unless it is configured; docs/design.md says what is built of it.
"""
