"""Check histories of concurrent runs against the promises."""
