//! Tests of jobs of several steps: the pool against a simulation of workers and rows.

mod admission;
mod advice_hosts;
mod crash_evidence;
mod crashing_tasks;
mod division;
mod draining;
mod estimates;
mod feed_timing;
mod handover;
mod large_service;
mod leadership;
mod learned_times;
mod malformed;
mod placing;
mod polling;
mod preempting;
mod random_faults;
mod recovery;
mod reservations;
mod restarting;
mod shrinking;
mod speeds;
mod teams;
mod ticket_lines;
mod tickets;
mod world;
