"""Names of builds that no registration has told yet.

An engine may answer as another incarnation than the one that is registered. Until its
registration arrives, its build has a name of its own: streams that begin there are told
apart from those of all other builds, at every entry that is told that name.
"""

from __future__ import annotations

import collections.abc as cabc
import hashlib
import math

from .model import MAX_BUILD_CHARACTERS
from .model import UNREGISTERED_PREFIX
from .model import Upstream
from .model import UpstreamKey

RETENTION_SECONDS = 60.0
"""How long the build of an incarnation is known after its departure; streams that began
there may go on for so long."""

UNIDENTIFIED_BUILD = UNREGISTERED_PREFIX
"""Build of the streams of which no entry knows the incarnation that began them. No
upstream has it: such a stream goes on nowhere else."""


def unregistered_build(key: UpstreamKey) -> str:
    """Return the name of the build of an incarnation that has not registered."""
    name, boot = key
    build = f"{UNREGISTERED_PREFIX}{name}/{boot}"
    if len(build) <= MAX_BUILD_CHARACTERS:
        return build
    digest = hashlib.sha256(build.encode(errors="surrogatepass")).hexdigest()
    return UNREGISTERED_PREFIX + digest[: MAX_BUILD_CHARACTERS - 1]


def is_unregistered(build: str) -> bool:
    """Return whether a build is one that no registration has told."""
    return build.startswith(UNREGISTERED_PREFIX)


class RegisteredIncarnations:
    """The builds of the incarnations that have registered.

    :param builds: build of each incarnation, by the name that it has while it is not
        registered, and when it is forgotten; points in time.
    """

    def __init__(self, clock: cabc.Callable[[], float]) -> None:
        self.clock = clock
        self.builds: dict[str, tuple[str, float]] = {}

    def on_registered(self, upstream: Upstream) -> None:
        """Record a registration."""
        self.builds[unregistered_build(upstream.key)] = upstream.build, math.inf

    def on_departed(self, upstream: Upstream) -> None:
        """Record that an incarnation is gone; its streams may go on elsewhere."""
        now = self.clock()
        self.builds = {n: b for n, b in self.builds.items() if now < b[1]}
        name = unregistered_build(upstream.key)
        if name in self.builds:
            self.builds[name] = self.builds[name][0], now + RETENTION_SECONDS

    def build(self, build: str) -> str:
        """Return what a registration has told of a build, or its name as it is."""
        known = self.builds.get(build)
        return build if known is None else known[0]
