"""Forwarding of the events of one engine connection to a sink."""

from result import Err, Ok, Result

from gooseberryquay.links.body_reader import READ_BYTES, BodyReader, Receive
from gooseberryquay.links.event_sink import EventSink
from gooseberryquay.links.event_validator import EventValidator
from gooseberryquay.links.streaming_gateway import BodyWriter, CallerDisconnected
from gooseberryquay.links.transport_failure import TransportFailure, classify_error
from gooseberryquay.machines.work import Placement

__all__ = ["EventForwarder"]

TOKENS_PER_REPORT = 16


class EventForwarder:
    """Read events, validate them and forward them until the connection ends."""

    def __init__(
        self,
        body: BodyReader,
        validator: EventValidator,
        sink: EventSink,
        placement: Placement | None,
    ) -> None:
        self._body = body
        self._validator = validator
        self._sink = sink
        self._placement = placement

    def run(self) -> bool:
        """Forward events; return True if the generation is complete."""
        while True:
            match self._read():
                case Err(_) | Ok(b""):
                    return False
                case Ok(content):
                    validated = self._validator.consume(content)
            self._report_tokens(validated.token_count)
            self._sink.accept(validated)
            if validated.is_done or validated.is_broken:
                return validated.is_done

    def read_to_end(self) -> bool:
        """Read the rest of the body; return True if the connection can be reused."""
        while not self._body.is_ended:
            match self._body.read():
                case Err(_) | Ok(b""):
                    return self._body.is_ended
        return True

    def _read(self) -> Result[bytes, TransportFailure]:
        receive = self._body.receive_raw
        writer = self._sink.raw_writer
        if receive is None or writer is None or not self._validator.is_at_boundary:
            return self._body.read()
        try:
            raw = self._forward_single_events(receive, writer)
        except CallerDisconnected:
            raise
        except OSError as error:
            return Err(classify_error(error))
        match self._body.decode(raw):
            case Ok(b""):
                return self._body.read()
            case decoded:
                return decoded

    def _forward_single_events(self, receive: Receive, writer: BodyWriter) -> bytes:
        """Forward chunks that consist of exactly the next event, without decoding them.

        This is the fast path for nearly every token. Returns the first bytes that do not qualify
        and need full validation.
        """
        accept_single_event = self._validator.accept_single_event
        write_raw_chunk = writer.write_raw_chunk
        record_tokens = self._sink.record.record_tokens
        forwarded = 0
        try:
            while True:
                raw = receive(READ_BYTES)
                if not accept_single_event(raw):
                    return raw
                write_raw_chunk(raw)
                record_tokens(1)
                forwarded += 1
                if forwarded == TOKENS_PER_REPORT:
                    self._report_tokens(forwarded)
                    forwarded = 0
        finally:
            self._report_tokens(forwarded)

    def _report_tokens(self, count: int) -> None:
        if count and self._placement is not None:
            self._placement.record_tokens(count)
