from pathlib import Path

import pytest

from shallotgate.errors import SettingsError
from shallotgate.settings import (
    find_operator,
    load_operator_keys,
    load_settings,
)

GOOD = """\
instance: a-1
domain: a
roles: [entry, control]
peer_address: 127.0.0.1:7001
caller_address: 127.0.0.1:7002
operator_address: 127.0.0.1:7003
operator_keys: keys.yaml
data_folder: data
control_members:
- {instance: a-1, address: '127.0.0.1:7001'}
"""
KEYS = """\
operators:
- {name: ana, token: token-of-ana-0001, administrator: true}
- {name: bo, token: token-of-bo-00001}
"""


def write(folder: Path, text: str, keys: str = KEYS) -> Path:
    (folder / 'keys.yaml').write_text(keys)
    path = folder / 'a.yaml'
    path.write_text(text)
    return path


def read_findings(path: Path) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    return [
        str(finding).removeprefix(f'{path.parent}/')
        for finding in caught.value.findings
    ]


def test_good_settings_are_resolved_against_their_folder(tmp_path):
    """Paths must not depend on the working directory."""
    settings = load_settings(write(tmp_path, GOOD))
    assert settings.data_folder == str(tmp_path / 'data')
    assert settings.operator_keys == str(tmp_path / 'keys.yaml')
    assert settings.policy is not None
    assert settings.policy.limits == 'owner'


def test_five_faults_give_five_findings(tmp_path):
    """Validation must not stop at the first error."""
    text = (
        GOOD.replace('domain: a\n', 'domain: 7\n')
        .replace('data_folder: data\n', 'colour: red\n')
        .replace('127.0.0.1:7003', '127.0.0.1:70030')
        .replace('operator_keys: keys', 'operator_keys: none')
    )
    assert read_findings(write(tmp_path, text)) == [
        'a.yaml:1: data_folder: is needed for role control',
        'a.yaml:2: domain: must be of type string',
        'a.yaml:6: operator_address: port must be from 0 to 65535',
        'a.yaml:7: operator_keys: is no file',
        'a.yaml:8: colour: is unknown',
    ]


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('domain: a\n', 'domain: a\ndomain: b\n', '3: domain: duplicate key'),
        ('instance: a-1\n', '', '1: instance: is missing'),
        ('caller_address: 127.0.0.1:7002\n', '', 'needed for role entry'),
        ('- {instance: a-1', '- {instance: a-2', '1: instance: has role'),
        (
            "1'}\n",
            "1'}\n- {instance: a-1, address: '127.0.0.1:7001'}\n",
            '11: control_members/1/address: is used twice',
        ),
        ("'127.0.0.1:7001'", "'127.0.0.1:7009'", 'address: differs'),
        ('address: 127.0.0.1:7002', 'address: 127.0.0.1:7003', 'the same as'),
        ('domain: a\n', 'domain: a\npeer_routes: {b: x}\n', 'HOST:PORT'),
        ('domain: a', 'domain: [a', 'bad YAML'),
        ('domain: a', '7: a', 'a key must be a string'),
        ('domain: a', 'domain: &x [*x]', 'refers to itself'),
        (GOOD, '', '1: file: must be of type object'),
        ('domain: a', 'domain: a\nplatform_url: ftp:x', 'HTTP URL'),
    ],
)
def test_fault_is_reported_with_its_line(tmp_path, old, new, expected):
    """Each error must be detected and reported at its own line."""
    assert old in GOOD
    findings = read_findings(write(tmp_path, GOOD.replace(old, new)))
    assert any(expected in finding for finding in findings), findings


def test_group_of_two_is_refused(tmp_path):
    """A group of two tolerates no failure, so it must be rejected."""
    text = f"{GOOD}- {{instance: b-1, address: '127.0.0.1:7009'}}\n"
    findings = read_findings(write(tmp_path, text))
    assert findings == [
        'a.yaml:9: control_members: must have 1, 3 or 5 members, not 2',
    ]


def test_missing_file_is_a_finding(tmp_path):
    """A mistyped file name must give a finding, not a traceback."""
    assert 'cannot be read' in read_findings(tmp_path / 'none.yaml')[0]


def test_operator_keys_are_found_by_token(tmp_path):
    """A token must match only its own operator and never appear in repr."""
    write(tmp_path, GOOD)
    keys = load_operator_keys(tmp_path / 'keys.yaml')
    found = find_operator(keys, 'token-of-bo-00001')
    assert found is not None
    assert (found.name, found.administrator) == ('bo', False)
    assert find_operator(keys, '') is None
    assert find_operator(keys, 'token-of-é') is None
    assert 'token-of' not in repr(keys)


def test_faults_of_operator_keys_hide_the_token(tmp_path):
    """Errors must not contain tokens and must all be reported together."""
    keys = KEYS.replace('bo,', 'ana,').replace('-00001', '')
    findings = read_findings(write(tmp_path, GOOD, keys))
    assert findings == [
        'keys.yaml:3: operators/1/name: is used twice',
        'keys.yaml:3: operators/1/token: must have at least 16 characters',
    ]
