"""Direct mode: an entry that sends requests to upstreams without side processes.

It serves platforms whose upstreams check identity, fencing tokens and admission
themselves. Request and response bodies are forwarded byte for byte. A
:class:`~bergamotmast.direct.ports.Dialect` reads all that the entry needs to know about
a request or a response from its headers.
"""
