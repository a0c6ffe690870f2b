import pytest

from shallotgate.consensus.tests.cluster import Cluster


@pytest.fixture
def make_cluster(tmp_path):
    clusters = []

    def make(*args, **kwargs):
        cluster = Cluster(tmp_path, *args, **kwargs)
        clusters.append(cluster)
        return cluster

    yield make
    for cluster in clusters:
        cluster.stop()


@pytest.fixture
def cluster(make_cluster):
    cluster = make_cluster()
    cluster.start()
    return cluster
