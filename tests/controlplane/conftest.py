"""Fixtures with control processes; parameters given to a fixture are passed to the constructor."""

import pytest

from tests.fakes.control_cluster import ControlCluster
from tests.fakes.control_plane import ControlPlane


@pytest.fixture
def cluster(request):
    """Three running control processes that are called over HTTP."""
    control_cluster = ControlCluster(**getattr(request, "param", {}))
    yield control_cluster
    control_cluster.close()


@pytest.fixture
def plane(request):
    """Control processes that are not started yet; three voters unless a test's parameters say otherwise."""
    control_plane = ControlPlane(**getattr(request, "param", {}))
    try:
        yield control_plane
    finally:
        control_plane.close()
