from testkit.bench._target_watch import sum_states


def make_row(target, **state):
    state = {'target': target, **state} if state else None
    return {'target': target, 'state': state}


def test_states_of_all_owners_are_summed():
    """Guards against targets left out or counted twice during a move."""
    former = make_row('a', epoch=1, cold=True, limit=1)
    current = make_row('a', epoch=2, cold=False, limit=3)
    other = make_row('b', epoch=1, cold=True, limit=2)
    pages = (
        {'targets': [current, make_row('b')]},
        {'targets': [former, other]},
        None,
    )
    reading = sum_states(4.04, pages)
    assert (reading.at_s, reading.owned) == (4.0, 2)
    assert (reading.cold, reading.limit) == (1, 5)
