"""Run operations at most once that must never be repeated."""

from gooseberryquay.postings.claim_sweeper import ClaimSweeper
from gooseberryquay.postings.posting import Posting
from gooseberryquay.postings.posting_desk import PostingDesk
from gooseberryquay.postings.settings import PostingSettings

__all__ = ["ClaimSweeper", "Posting", "PostingDesk", "PostingSettings"]
