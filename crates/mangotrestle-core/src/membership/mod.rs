//! Which entry hosts are alive, as a hint about who should try to act.
