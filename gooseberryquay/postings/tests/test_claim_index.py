from gooseberryquay.postings.claim_index import FREE, KeyPhase, next_state
from gooseberryquay.postings.records import Answered, Claimed, OutcomeLost, Released

KEY = "key"


def claimed(token):
    return Claimed(key=KEY, token=token, fingerprint="body", at_s=1)


def apply(*records):
    state = FREE
    for record in records:
        state = next_state(state, record)
    return state


def test_first_claim_wins_and_only_its_holder_can_complete_it():
    answer = Answered(key=KEY, token="b", status=200, content_type="", body=b"")
    state = apply(claimed("a"), claimed("b"), answer, OutcomeLost(key=KEY, token="b"))
    assert state.is_held_by("a")


def test_claim_that_comes_after_its_release_is_void():
    state = apply(Released(key=KEY, token="a"), claimed("a"))
    assert state.phase is KeyPhase.FREE
    assert next_state(state, claimed("b")).is_held_by("b")


def test_release_after_the_answer_changes_nothing():
    answer = Answered(key=KEY, token="a", status=200, content_type="", body=b"")
    state = apply(claimed("a"), answer, Released(key=KEY, token="a"), claimed("b"))
    assert (state.phase, state.answer) == (KeyPhase.ANSWERED, answer)
