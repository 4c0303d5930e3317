//! Effects of a catalog change on running and new requests.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::catalog::{Catalog, Customer, Model, Policy};
use crate::operator::Table;
use crate::prelude::*;

/// A changed declaration and its effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlannedChange {
    /// `added`, `changed` or `withdrawn`.
    pub action: &'static str,
    /// `customers`, `models`, `policies`, `services` or `trust`.
    pub kind: &'static str,
    /// Name of the declaration.
    pub name: Name,
    /// Effect on running and new requests, as text.
    pub effect: String,
}

/// Lists the differences between two catalogs, with the effect of each.
#[must_use]
pub fn planned_changes(before: &Catalog, after: &Catalog) -> Vec<PlannedChange> {
    let (old, new) = (&before.declarations, &after.declarations);
    let mut out = Vec::new();
    compare(
        &mut out,
        "customers",
        &old.customers,
        &new.customers,
        customer_effect,
    );
    compare(&mut out, "models", &old.models, &new.models, |o, n| {
        model_effect(after, o, n)
    });
    compare(
        &mut out,
        "policies",
        &old.policies,
        &new.policies,
        policy_effect,
    );
    compare(
        &mut out,
        "services",
        &old.services,
        &new.services,
        |old, new| match (old, new) {
            (_, None) => "new requests are refused; running ones finish".to_owned(),
            (None, _) => "requests are routed to its VMs".to_owned(),
            _ => "new requests follow the new routes; running ones finish".to_owned(),
        },
    );
    compare(&mut out, "trust", &old.trust, &new.trust, |_, new| {
        let checks = new.is_some_and(|t| t.checks_fencing);
        if checks {
            "orders rely on the target's check of fencing numbers".to_owned()
        } else {
            "orders to the target wait for older leases to run out".to_owned()
        }
    });
    out
}

/// Renders changes as a table.
pub(crate) fn render_changes(changes: &[PlannedChange]) -> String {
    if changes.is_empty() {
        return "  nothing changes\n".to_owned();
    }
    let mut table = Table::new(&["change", "kind", "name", "effect"]);
    for c in changes {
        table.row([
            c.action.to_owned(),
            c.kind.to_owned(),
            c.name.to_string(),
            c.effect.clone(),
        ]);
    }
    table.render()
}

fn compare<T: PartialEq>(
    out: &mut Vec<PlannedChange>,
    kind: &'static str,
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    effect: impl Fn(Option<&T>, Option<&T>) -> String,
) {
    let mut names: Vec<_> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        let action = match (before, after) {
            (Some(a), Some(b)) if a == b => continue,
            (None, _) => "added",
            (_, None) => "withdrawn",
            _ => "changed",
        };
        out.push(PlannedChange {
            action,
            kind,
            name: name.clone(),
            effect: effect(before, after),
        });
    }
}

fn customer_effect(old: Option<&Customer>, new: Option<&Customer>) -> String {
    match (old, new) {
        (None, Some(new)) => format!("admitted with share {}", new.share),
        (Some(old), Some(new)) => {
            let mut parts = Vec::new();
            if old.share != new.share {
                parts.push(format!("share {} to {}", old.share, new.share));
            }
            let added = new
                .tokens
                .iter()
                .filter(|t| !old.tokens.contains(t))
                .count();
            let removed = old
                .tokens
                .iter()
                .filter(|t| !new.tokens.contains(t))
                .count();
            if added > 0 {
                parts.push(format!("{added} new tokens"));
            }
            if removed > 0 {
                parts.push(format!("{removed} tokens refused from then on"));
            }
            parts.join(", ")
        }
        _ => "new requests are refused; running ones finish".to_owned(),
    }
}

fn model_effect(after: &Catalog, old: Option<&Model>, new: Option<&Model>) -> String {
    let Some(new) = new else {
        return "new requests are refused; running ones finish, then targets unload".to_owned();
    };
    let policy = after.declarations.policies.get(&new.policy);
    let at_once = policy.map_or(1, |p| p.loads_at_once);
    let Some(old) = old else {
        return format!("targets load {}, at most {at_once} at once", new.weights);
    };
    let mut parts = Vec::new();
    if old.weights != new.weights {
        parts.push(format!(
            "swap from {} to {}, at most {at_once} loads at once; running requests finish on {}",
            old.weights, new.weights, old.weights
        ));
    }
    if old.adapters != new.adapters {
        parts.push("targets load and unload adapters".to_owned());
    }
    if old.policy != new.policy {
        parts.push(format!("new requests follow policy {}", new.policy));
    }
    parts.join("; ")
}

fn policy_effect(old: Option<&Policy>, new: Option<&Policy>) -> String {
    match (old, new) {
        (None, _) => "ready for use".to_owned(),
        (_, None) => "no longer used".to_owned(),
        (Some(old), Some(new)) => {
            let mut parts = policy_differences(old, new);
            parts.push("new requests only".to_owned());
            parts.join(", ")
        }
    }
}

fn policy_differences(old: &Policy, new: &Policy) -> Vec<String> {
    let mut parts = Vec::new();
    let mut number = |what: &str, old: u64, new: u64| {
        if old != new {
            parts.push(format!("{what} {old} to {new}"));
        }
    };
    number("first_token_ms", old.first_token_ms, new.first_token_ms);
    number("total_ms", old.total_ms, new.total_ms);
    number("retention_s", old.retention_s, new.retention_s);
    let loads = (u64::from(old.loads_at_once), u64::from(new.loads_at_once));
    number("loads_at_once", loads.0, loads.1);
    if old.class != new.class {
        parts.push(format!("class {} to {}", class_name(old), class_name(new)));
    }
    if old.idempotent != new.idempotent {
        let what = if new.idempotent {
            "may run again"
        } else {
            "run at most once"
        };
        parts.push(format!("requests {what}"));
    }
    parts
}

fn class_name(policy: &Policy) -> String {
    let value = serde_json::to_value(policy.class).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
