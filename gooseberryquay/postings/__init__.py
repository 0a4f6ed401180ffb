"""Run operations at most once that must never be repeated."""

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.postings.posting import Posting
from gooseberryquay.postings.posting_executor import PostingExecutor

__all__ = ["Posting", "PostingExecutor", "PostingSettings"]
