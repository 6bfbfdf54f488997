"""The side process: everything that touches its upstream goes through it."""
