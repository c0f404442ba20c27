//! Stand-in for the platform's table service.
