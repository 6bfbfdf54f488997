"""Small stand-ins for what lies outside, for tests and the demonstration."""
