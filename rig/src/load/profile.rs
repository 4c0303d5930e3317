//! Load profiles of the two operators, scaled to one machine.

use std::time::Duration;

use guavahold::catalog::{
    Customer, Model, Policy, PriorityClass, ReleaseNote, Route, Service, TokenHash,
};
use guavahold::prelude::Name;

use crate::bench::BenchPlan;
use crate::{EngineSettings, PlatformSettings, ServiceSettings};

/// Failure domains of every profile.
pub const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Customers of every profile.
pub const CUSTOMERS: usize = 10;
/// Relative sizes of the customers: three large ones and seven small ones.
const SIZES: [u32; CUSTOMERS] = [8, 6, 5, 1, 1, 1, 1, 1, 1, 1];

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A turn of a conversation that returns after a gap.
    Turn,
    /// A yes-or-no question.
    Question,
    /// A call that may run once only.
    Booking,
    /// A call that may be repeated.
    Check,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Turn, Self::Question, Self::Booking, Self::Check];

    /// Name of the kind in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Turn => "turn",
            Self::Question => "question",
            Self::Booking => "booking",
            Self::Check => "check",
        }
    }
}

/// A load and the bench that serves it.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name.
    pub name: &'static str,
    /// New conversations per second.
    pub conversations: f64,
    /// Most turns of a conversation.
    pub turns: u32,
    /// Mean gap between an answer's start and the caller's return.
    pub gap: Duration,
    /// Questions per second.
    pub questions: f64,
    /// Bookings per second.
    pub bookings: f64,
    /// Repeatable service calls per second.
    pub checks: f64,
    /// Blocks of text that all prompts of a customer share.
    pub shared_blocks: usize,
    /// Bytes of text that a turn adds, at least and at most.
    pub turn_bytes: (usize, usize),
    /// Tokens of an answer to a turn.
    pub turn_tokens: u32,
    /// Engines that serve turns and questions.
    pub engines: (usize, usize),
    /// Prompt tokens per second of an engine.
    pub prefill_rate: u32,
    /// Blocks in an engine's memory.
    pub cache_blocks: usize,
    /// Plain service VMs.
    pub services: usize,
    /// Policy of turns.
    pub turn_policy: Policy,
    /// Policy of questions.
    pub question_policy: Policy,
}

impl Profile {
    /// Finds a profile by name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "kammitsa" => Some(Self::kammitsa()),
            "pluvial" => Some(Self::pluvial()),
            _ => None,
        }
    }

    /// Long shared price lists, short questions with tight deadlines, bookings.
    #[must_use]
    pub fn kammitsa() -> Self {
        Self {
            name: "kammitsa",
            conversations: 5.0,
            turns: 5,
            gap: Duration::from_secs(24),
            questions: 10.0,
            bookings: 5.0,
            checks: 10.0,
            shared_blocks: 12,
            turn_bytes: (3000, 9000),
            turn_tokens: 30,
            engines: (14, 6),
            prefill_rate: 20_000,
            cache_blocks: 24,
            services: 4,
            turn_policy: policy(PriorityClass::Standard, 3000),
            question_policy: policy(PriorityClass::Interactive, 1500),
        }
    }

    /// Long answers to patient callers, permit questions, recorded installations and refunds.
    #[must_use]
    pub fn pluvial() -> Self {
        Self {
            name: "pluvial",
            conversations: 1.5,
            turns: 5,
            gap: Duration::from_secs(24),
            questions: 3.0,
            bookings: 2.0,
            checks: 4.0,
            shared_blocks: 6,
            turn_bytes: (12_000, 30_000),
            turn_tokens: 150,
            engines: (7, 3),
            prefill_rate: 15_000,
            cache_blocks: 40,
            services: 4,
            turn_policy: policy(PriorityClass::Patient, 20_000),
            question_policy: policy(PriorityClass::Interactive, 2000),
        }
    }

    /// Name of a customer.
    #[must_use]
    pub fn customer(n: usize) -> Name {
        format!("customer-{n}").into()
    }

    /// Bearer token of a customer.
    #[must_use]
    pub fn token(n: usize) -> String {
        format!("token-of-customer-{n}")
    }

    /// Share of a customer in the load, from zero to one.
    #[must_use]
    pub fn share(n: usize) -> f64 {
        f64::from(SIZES[n]) / f64::from(SIZES.iter().sum::<u32>())
    }

    /// Model that serves a kind of chat.
    #[must_use]
    pub fn model(kind: Kind) -> &'static str {
        match kind {
            Kind::Question => "question",
            _ => "turn",
        }
    }

    /// Policy that serves a kind of request.
    #[must_use]
    pub fn policy(&self, kind: Kind) -> Policy {
        match kind {
            Kind::Turn => self.turn_policy.clone(),
            Kind::Question => self.question_policy.clone(),
            Kind::Booking => Policy {
                idempotent: false,
                ..policy(PriorityClass::Standard, 5000)
            },
            Kind::Check => policy(PriorityClass::Interactive, 2000),
        }
    }

    /// The release note that declares the profile.
    #[must_use]
    pub fn note(&self) -> ReleaseNote {
        let mut note = ReleaseNote {
            id: "profile".into(),
            by: "rig".into(),
            why: self.name.into(),
            ..ReleaseNote::default()
        };
        for (n, share) in SIZES.into_iter().enumerate() {
            let tokens = [TokenHash::of(&Self::token(n))].into_iter().collect();
            let customer = Customer { share, tokens };
            note.added.customers.insert(Self::customer(n), customer);
        }
        for kind in Kind::ALL {
            let name = Name::from(kind.as_str());
            note.added.policies.insert(name, self.policy(kind));
        }
        for kind in [Kind::Turn, Kind::Question] {
            let model = Model {
                weights: "w1".into(),
                adapters: Vec::new(),
                policy: kind.as_str().into(),
            };
            note.added.models.insert(Self::model(kind).into(), model);
        }
        let route = |method: &str, policy: Kind| Route {
            method: method.into(),
            path: "/".into(),
            policy: policy.as_str().into(),
        };
        let routes = vec![route("GET", Kind::Check), route("*", Kind::Booking)];
        note.added
            .services
            .insert("desk".into(), Service { routes });
        note
    }

    /// The bench that serves the profile.
    #[must_use]
    pub fn bench(&self, entries: usize) -> BenchPlan {
        let domain = |n: usize| Name::from(DOMAINS[n % DOMAINS.len()]);
        let engine = |n: usize, kind: Kind| {
            let name = format!("engine-{}-{n:02}", kind.as_str());
            let mut cfg = EngineSettings::new(name, Self::model(kind), "w1")
                .with_speed(8, self.prefill_rate, Duration::from_millis(5))
                .with_cache_blocks(self.cache_blocks);
            cfg.orphan_timeout = Duration::from_secs(2);
            (domain(n), cfg)
        };
        let turns = (0..self.engines.0).map(|n| engine(n, Kind::Turn));
        let questions = (0..self.engines.1).map(|n| engine(n, Kind::Question));
        let services = (0..self.services).map(|n| {
            let cfg = ServiceSettings::new("desk");
            (domain(n), format!("desk-{n}").into(), cfg)
        });
        let entry = |n: usize| (domain(n), Name::from(format!("entry-{n}")));
        BenchPlan {
            platform: PlatformSettings::default(),
            note: self.note(),
            engines: turns.chain(questions).collect(),
            services: services.collect(),
            entries: (0..entries).map(entry).collect(),
            traffic_threads: 1,
            stand_in_threads: 3,
        }
    }
}

fn policy(class: PriorityClass, first_token_ms: u64) -> Policy {
    Policy {
        class,
        first_token_ms,
        total_ms: first_token_ms + 30_000,
        ..Policy::default()
    }
}
