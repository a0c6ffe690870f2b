"""Ownership of targets as reported by an entry."""

from testkit.runner import Tier


def read_owner(tier: Tier, reader: str, target: str) -> tuple[str, str]:
    """Return the owner and ownership state of a target, empty without."""
    page = tier.clients.read(reader, '/v1/targets') or {'targets': ()}
    for row in page['targets']:
        ownership = row['ownership']
        if row['target'] == target and ownership:
            return ownership['instance'], ownership['state']
    return '', ''


def is_owned_by_others(tier: Tier, reader: str, previous: str) -> bool:
    """Return whether entries other than ``previous`` hold all targets."""
    owners = [read_owner(tier, reader, name) for name in tier.targets]
    return all(state == 'held' and owner != previous for owner, state in owners)
