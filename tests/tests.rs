//! All integration tests, one crate.

mod gatedir;
mod keeperdir;
mod test_allowance;
mod test_allowance_death;
mod test_allowance_random;
mod test_answer;
mod test_api;
mod test_budget_holder;
mod test_budget_random;
mod test_budget_reclaim;
mod test_committer;
mod test_config;
mod test_explain;
mod test_fleet;
mod test_gateway;
mod test_gateway_config;
mod test_gateway_decisions;
mod test_gateway_targets;
mod test_gateway_timing;
mod test_http1;
mod test_link;
mod test_oplog;
mod test_table_http;
mod workdir;
