"""Keep what must last or be agreed: records, their fold, and group commit."""
