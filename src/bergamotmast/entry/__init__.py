"""The entry: a gateway process between callers and the upstreams' sides."""
