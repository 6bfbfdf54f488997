"""Direct mode: an entry that sends requests to upstreams without side processes.

For platforms whose upstreams check identity, fencing tokens and admission themselves.
Request and response bodies are forwarded byte for byte. Everything the entry needs to
know about a request or a response is read from its headers by a
:class:`~bergamotmast.direct.ports.Dialect`.
"""
