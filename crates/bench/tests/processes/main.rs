//! Tests against real processes: routers, and stand-ins for the services around
//! them.

mod at_most_once;
mod bad_input;
mod continuation;
mod dying_targets;
mod fixture;
mod lifecycle;
mod old_callers;
mod slow_readers;
mod stop;
mod stop_inherited;
mod stop_unread_log;
mod truncation;
