"""Tests of settings that the platform may leave out."""

import json

import pytest

from shallotgate.errors import SettingsError
from shallotgate.node._settings import load_node_settings


def load(tmp_path, value):
    path = tmp_path / 'settings.yaml'
    required = {'name': 'a', 'domain': 'd', 'peer_address': 'a:1', 'seeds': []}
    path.write_text(json.dumps({**required, 'tolerated_losses': value}))
    return load_node_settings(path).tolerated_losses


def test_number_of_tolerated_losses_may_be_unknown(tmp_path):
    """Guards against a process that does not start where it is not stated."""
    assert load(tmp_path, None) is None
    assert load(tmp_path, 2) == 2
    with pytest.raises(SettingsError, match='must be at least 0'):
        load(tmp_path, -1)
