"""At-most-once execution of operations that carry an idempotency key."""

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.postings.posting import Posting
from gooseberryquay.postings.posting_executor import PostingExecutor

__all__ = ["Posting", "PostingExecutor", "PostingSettings"]
