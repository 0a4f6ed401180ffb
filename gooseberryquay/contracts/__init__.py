"""Models of what operators declare: services, workspaces, zones, upstreams and settings."""

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.service import RepeatPolicy, Service, ServiceKind
from gooseberryquay.contracts.settings import Address, EntrySettings, Settings, SettingsProblem
from gooseberryquay.contracts.settings_file import load_settings
from gooseberryquay.contracts.site import Site
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.contracts.workspace import Workspace

__all__ = [
    "Address",
    "Declaration",
    "EntrySettings",
    "RepeatPolicy",
    "Service",
    "ServiceKind",
    "Settings",
    "SettingsProblem",
    "Site",
    "UpstreamDeclaration",
    "Workspace",
    "load_settings",
]
