//! Records of what happened in a pool, and the state that they fold into.
