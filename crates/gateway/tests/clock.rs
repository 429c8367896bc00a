//! The clock of a router.

use gateway::now;
use policy::Time;

// Guards against VERSION on a VM that has just booted: what was before the boot seems to be younger.
#[test]
fn all_ages_in_messages_lie_within_the_time_of_the_clock() {
    assert!(now() > Time::from_millis(u64::from(u32::MAX)));
}
