//! Load profiles of two operators, scaled down to one machine.

use std::time::Duration;

use guavahold::catalog::{
    Customer, Model, Policy, PriorityClass, ReleaseNote, Route, Service, TokenHash,
};
use guavahold::prelude::Name;

use crate::local_system::LocalSystemPlan;
use crate::{EngineSettings, PlatformSettings, ServiceSettings};

/// Failure domains of every profile.
pub const FAILURE_DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Customers of every profile.
pub const CUSTOMER_COUNT: usize = 10;
/// Relative load of each customer: three large ones and seven small ones.
const CUSTOMER_SHARES: [u32; CUSTOMER_COUNT] = [8, 6, 5, 1, 1, 1, 1, 1, 1, 1];

/// Kind of a request of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestKind {
    /// A turn of a conversation whose caller returns after a gap.
    Turn,
    /// A yes-or-no question.
    Question,
    /// A service request that must not run more than once.
    Booking,
    /// An idempotent service request.
    Check,
}

impl RequestKind {
    /// All kinds.
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

/// Load parameters and the size of the system that serves the load.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Value of `--profile`.
    pub name: &'static str,
    /// New conversations per second.
    pub conversations: f64,
    /// Maximum number of turns of a conversation.
    pub turns: u32,
    /// Mean gap between the starts of two turns of a conversation.
    pub gap: Duration,
    /// Questions per second.
    pub questions: f64,
    /// Bookings per second.
    pub bookings: f64,
    /// Idempotent service requests per second.
    pub checks: f64,
    /// Number of leading blocks that all prompts of a customer share.
    pub shared_blocks: usize,
    /// Minimum and maximum size of the text that a turn adds, in bytes.
    pub turn_bytes: (usize, usize),
    /// Tokens generated for a turn.
    pub turn_tokens: u32,
    /// Number of engines for turns and for questions.
    pub engines: (usize, usize),
    /// Prompt tokens that an engine computes per second.
    pub prefill_rate: u32,
    /// Capacity of an engine's prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Number of plain service VMs.
    pub services: usize,
    /// Policy of turns.
    pub turn_policy: Policy,
    /// Policy of questions.
    pub question_policy: Policy,
}

impl Profile {
    /// Returns the profile that `--profile` names; `None` if it is unknown.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "kammitsa" => Some(Self::kammitsa()),
            "pluvial" => Some(Self::pluvial()),
            _ => None,
        }
    }

    /// Prompts with long shared price lists, short questions with tight deadlines, bookings.
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

    /// Long responses in the patient class, permit questions, recorded installations and refunds.
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

    /// Name of customer `n`.
    #[must_use]
    pub fn customer_name(n: usize) -> Name {
        format!("customer-{n}").into()
    }

    /// Bearer token of customer `n`.
    #[must_use]
    pub fn bearer_token(n: usize) -> String {
        format!("token-of-customer-{n}")
    }

    /// Share of the load that customer `n` sends, from zero to one.
    #[must_use]
    pub fn load_share(n: usize) -> f64 {
        f64::from(CUSTOMER_SHARES[n]) / f64::from(CUSTOMER_SHARES.iter().sum::<u32>())
    }

    /// Name of the model that serves chats of a kind.
    #[must_use]
    pub fn model_name(kind: RequestKind) -> &'static str {
        match kind {
            RequestKind::Question => "question",
            _ => "turn",
        }
    }

    /// Policy of requests of a kind.
    #[must_use]
    pub fn policy(&self, kind: RequestKind) -> Policy {
        match kind {
            RequestKind::Turn => self.turn_policy.clone(),
            RequestKind::Question => self.question_policy.clone(),
            RequestKind::Booking => Policy {
                idempotent: false,
                ..policy(PriorityClass::Standard, 5000)
            },
            RequestKind::Check => policy(PriorityClass::Interactive, 2000),
        }
    }

    /// Release note that declares customers, policies, models and services of the profile.
    #[must_use]
    pub fn release_note(&self) -> ReleaseNote {
        let mut note = ReleaseNote {
            id: "profile".into(),
            by: "rig".into(),
            why: self.name.into(),
            ..ReleaseNote::default()
        };
        for (n, share) in CUSTOMER_SHARES.into_iter().enumerate() {
            let tokens = [TokenHash::of(&Self::bearer_token(n))]
                .into_iter()
                .collect();
            let customer = Customer { share, tokens };
            note.added
                .customers
                .insert(Self::customer_name(n), customer);
        }
        for kind in RequestKind::ALL {
            let name = Name::from(kind.as_str());
            note.added.policies.insert(name, self.policy(kind));
        }
        for kind in [RequestKind::Turn, RequestKind::Question] {
            let model = Model {
                weights: "w1".into(),
                adapters: Vec::new(),
                policy: kind.as_str().into(),
            };
            note.added
                .models
                .insert(Self::model_name(kind).into(), model);
        }
        let route = |method: &str, policy: RequestKind| Route {
            method: method.into(),
            path: "/".into(),
            policy: policy.as_str().into(),
        };
        let routes = vec![
            route("GET", RequestKind::Check),
            route("*", RequestKind::Booking),
        ];
        note.added
            .services
            .insert("desk".into(), Service { routes });
        note
    }

    /// System that serves the profile, with the given number of entries.
    #[must_use]
    pub fn system_plan(&self, entries: usize) -> LocalSystemPlan {
        let domain = |n: usize| Name::from(FAILURE_DOMAINS[n % FAILURE_DOMAINS.len()]);
        let engine = |n: usize, kind: RequestKind| {
            let name = format!("engine-{}-{n:02}", kind.as_str());
            let mut cfg = EngineSettings::new(name, Self::model_name(kind), "w1")
                .with_speed(8, self.prefill_rate, Duration::from_millis(5))
                .with_cache_blocks(self.cache_blocks);
            cfg.orphan_timeout = Duration::from_secs(2);
            (domain(n), cfg)
        };
        let turns = (0..self.engines.0).map(|n| engine(n, RequestKind::Turn));
        let questions = (0..self.engines.1).map(|n| engine(n, RequestKind::Question));
        let services = (0..self.services).map(|n| {
            let cfg = ServiceSettings::new("desk");
            (domain(n), format!("desk-{n}").into(), cfg)
        });
        let entry = |n: usize| (domain(n), Name::from(format!("entry-{n}")));
        LocalSystemPlan {
            platform: PlatformSettings::default(),
            note: self.release_note(),
            engines: turns.chain(questions).collect(),
            services: services.collect(),
            entries: (0..entries).map(entry).collect(),
            traffic_threads: 1,
            stand_in_threads: 3,
        }
    }
}

/// Policy whose total deadline is 30 s after that of the first token.
fn policy(class: PriorityClass, first_token_ms: u64) -> Policy {
    Policy {
        class,
        first_token_ms,
        total_ms: first_token_ms + 30_000,
        ..Policy::default()
    }
}
