"""An entry that reaches upstreams directly, without side processes.

It serves where upstreams check identity, fencing tokens and admission themselves.
Requests and answers are opaque here: they pass byte for byte, and what the entry must
know of them it learns from a :class:`~bergamotmast.direct.ports.Dialect`.
"""
