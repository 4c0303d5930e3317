//! Division of the slots of targets among entries.

use crate::rate_limit::SharePosition;

/// Slots of each target that the entry at `position` may use, given the slots of all targets of a
/// service: the slots are dealt to the entries in turn, so that all entries together never exceed
/// them and none has two more than another. `None` if there are fewer slots than entries.
#[must_use]
pub fn own_slots(slots: &[u32], position: SharePosition) -> Option<Vec<u32>> {
    let total: u32 = slots.iter().sum();
    if total < position.of {
        return None;
    }
    let mut first = 0;
    let own = slots.iter().map(|slots| {
        let dealt = |to: u32| (to + position.of - 1 - position.index) / position.of;
        let own = dealt(first + slots) - dealt(first);
        first += slots;
        own
    });
    Some(own.collect())
}
