"""Field types shared by the declared models."""

from typing import Annotated, Any, NamedTuple

from pydantic import BaseModel, BeforeValidator, ConfigDict, PlainSerializer

__all__ = ["Address", "AddressField", "FrozenModel", "NameList", "parse_address"]

MAX_PORT = 65535


class FrozenModel(BaseModel):
    """Base class of declared models: immutable, and rejects unknown keys."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Address(NamedTuple):
    """Represent a TCP endpoint by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`; raises `ValueError` for anything else."""
    host, separator, port = text.rpartition(":")
    if not host or not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("must be IP:PORT")
    return Address(host, int(port))


def _parse_if_text(value: Any) -> Any:
    return parse_address(value) if isinstance(value, str) else value


def _split_names(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    return tuple(name.strip() for name in value.split(",") if name.strip())


AddressField = Annotated[Address, BeforeValidator(_parse_if_text), PlainSerializer(str)]
NameList = Annotated[tuple[str, ...], BeforeValidator(_split_names)]
