//! Routing decisions: target selection, health, fair queueing and retry budgets. The code is pure:
//! state, events and time go in, decisions come out.

pub mod gate;
pub mod picker;
pub mod retry;
