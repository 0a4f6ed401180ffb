"""Processes and experiments that verify and measure postings."""
