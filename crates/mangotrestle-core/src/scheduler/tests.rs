//! Tests of the scheduler parts that only private items show.
