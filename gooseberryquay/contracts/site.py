"""Sites and their availability zones."""

from gooseberryquay.contracts.fields import FrozenModel, NameList
from gooseberryquay.ids import SiteId

__all__ = ["Site"]


class Site(FrozenModel):
    """Declare one site with its availability zones."""

    id: SiteId
    zones: NameList
