"""Move the events of one connection from an engine to a sink."""

from result import Err, Ok, Result

from gooseberryquay.links.body_reader import READ_BYTES, BodyReader, Receive
from gooseberryquay.links.event_sink import EventSink
from gooseberryquay.links.event_validator import EventCheck
from gooseberryquay.links.streaming_gateway import BodyWriter, CallerDisconnected
from gooseberryquay.links.transport_failure import TransportFailure, failure_of
from gooseberryquay.machines.work import Placement

__all__ = ["EventPump"]

TOKENS_PER_NOTE = 16


class EventPump:
    """Read events, check them and pass them on until the connection has no more."""

    def __init__(
        self, body: BodyReader, check: EventCheck, sink: EventSink, placement: Placement | None
    ) -> None:
        self._body = body
        self._check = check
        self._sink = sink
        self._placement = placement

    def run(self) -> bool:
        """Pass events on; True when the generation is complete."""
        while True:
            match self._read():
                case Err(_) | Ok(b""):
                    return False
                case Ok(content):
                    checked = self._check.take(content)
            self._note_tokens(checked.token_count)
            self._sink.take(checked)
            if checked.is_done or checked.is_broken:
                return checked.is_done

    def read_to_end(self) -> bool:
        """Read what follows the last event; True when the connection may be used again."""
        while not self._body.is_ended:
            match self._body.read():
                case Err(_) | Ok(b""):
                    return self._body.is_ended
        return True

    def _read(self) -> Result[bytes, TransportFailure]:
        receive = self._body.receive_raw
        writer = self._sink.raw_writer
        if receive is None or writer is None or not self._check.is_at_boundary:
            return self._body.read()
        try:
            raw = self._pass_single_events(receive, writer)
        except CallerDisconnected:
            raise
        except OSError as error:
            return Err(failure_of(error))
        match self._body.decode(raw):
            case Ok(b""):
                return self._body.read()
            case decoded:
                return decoded

    def _pass_single_events(self, receive: Receive, writer: BodyWriter) -> bytes:
        """Pass on chunks that hold just the next event, as they are.

        Nearly every token takes this way, so it does no more than it must. Gives back the first
        bytes that need a closer look.
        """
        is_next_alone = self._check.is_next_alone
        write_raw_chunk = writer.write_raw_chunk
        record_tokens = self._sink.record.record_tokens
        passed = 0
        try:
            while True:
                raw = receive(READ_BYTES)
                if not is_next_alone(raw):
                    return raw
                write_raw_chunk(raw)
                record_tokens(1)
                passed += 1
                if passed == TOKENS_PER_NOTE:
                    self._note_tokens(passed)
                    passed = 0
        finally:
            self._note_tokens(passed)

    def _note_tokens(self, count: int) -> None:
        if count and self._placement is not None:
            self._placement.record_tokens(count)
