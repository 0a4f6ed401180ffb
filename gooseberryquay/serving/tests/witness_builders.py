"""Entries of one process that keep records of streams for each other."""

from gooseberryquay.serving.stream_witnesses import WITNESSES, PeerAnswers


class DirectWitnesses:
    """Call the other entries of `entries` directly; those that are None don't answer."""

    def __init__(self, own_name, entries):
        self._own_name = own_name
        self._entries = entries

    def _others(self):
        return [each for name, each in self._entries.items() if name != self._own_name]

    def keep(self, stream, origin, until_s):
        """Let the first entries keep an origin."""
        others = self._others()
        answering = [each for each in others if each is not None][:WITNESSES]
        kept = sum(each.keep_for_peer({stream: origin}) for each in answering)
        return bool(others) and kept >= min(WITNESSES, len(others))

    def find(self, stream, reads_store):
        """Ask all entries."""
        others = self._others()
        found = [
            each.find_for_peer([stream], reads_store).get(stream)
            for each in others
            if each is not None
        ]
        origin = next((each for each in found if each is not None), None)
        kept_for_s = tuple(0.0 if each is None else each.kept_for_s() for each in others)
        return PeerAnswers(origin, kept_for_s, are_all_asked=True)
