"""The users' platform: its names, formats and calls, and nothing that decides.

Nothing outside this package imports it but the composition root.
"""
