//! Division of the slots of targets among entries.

use crate::rate_limit::SharePosition;

/// Slots of each target that the entry at `position` may use, given the slots of all targets of a
/// service: the slots are dealt to the entries in turn, so that all entries together never exceed
/// them and none has two more than another. `None` if there are fewer slots than entries.
#[must_use]
pub fn own_slots(slots: &[u32], position: SharePosition) -> Option<Vec<u32>> {
    let of = u64::from(position.of);
    let total: u64 = slots.iter().map(|slots| u64::from(*slots)).sum();
    if total < of {
        return None;
    }
    let mut first = 0;
    let own = slots.iter().map(|slots| {
        let dealt = |to: u64| (to + of - 1 - u64::from(position.index)) / of;
        let last = first + u64::from(*slots);
        let own = dealt(last) - dealt(first);
        first = last;
        u32::try_from(own).unwrap_or(*slots)
    });
    Some(own.collect())
}
