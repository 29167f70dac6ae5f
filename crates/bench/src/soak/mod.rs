//! Stand-ins of the platform's machines and a soak that judges what callers and servers saw.

pub mod app;
mod app_answer;
mod app_call;
mod app_settings;
mod app_state;
mod bounds;
pub mod client;
mod deeds;
pub mod journal;
mod judge;
mod judge_config;
mod judge_load;
mod judge_notices;
mod machine;
mod plan;
mod planned_stop;
pub mod record;
mod run;
pub mod seal;
mod session;
pub mod showing;
mod site_text;
mod wire;
mod world;

pub use app_settings::{AppFault, AppSettings, Flaw, WhenFull};
pub use judge::{Breach, Rule, judge};
pub use planned_stop::{StopOutcome, StopPlan, run_planned_stop};
pub use run::{Outcome, Soak, run_soak};
