"""Control processes for tests; a test's parameters of the fixture go to the constructor."""

import pytest

from tests.fakes.control_cluster import ControlCluster
from tests.fakes.control_plane import ControlPlane


@pytest.fixture
def cluster(request):
    """Three control processes that run, called over HTTP."""
    control_cluster = ControlCluster(**getattr(request, "param", {}))
    yield control_cluster
    control_cluster.close()


@pytest.fixture
def plane(request):
    """Three control processes, or as many and of them as many voters as a test asks for; not started yet."""
    control_plane = ControlPlane(**getattr(request, "param", {}))
    try:
        yield control_plane
    finally:
        control_plane.close()
