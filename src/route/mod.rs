//! Where a request goes: target choice, health, fair queueing, retry budgets. All pure: state,
//! event and time in, decision out.

pub mod gate;
pub mod picker;
pub mod retry;
