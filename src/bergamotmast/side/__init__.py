"""The side: a sidecar process that carries all requests and orders to one upstream."""
