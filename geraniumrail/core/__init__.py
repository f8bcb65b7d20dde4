"""Clock, codec, event log and the records that packages share."""
