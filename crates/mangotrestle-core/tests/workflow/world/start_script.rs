//! Scripts of what becomes of the calls of a start order: whether and when each is carried out, and what
//! its sender learns of it.

use mangotrestle_core::workflow::job::MemberKey;
use mangotrestle_core::workflow::message::OrderAnswer;
use mangotrestle_core::workflow::pool::Order;
use mangotrestle_core::workflow::start_calls::StartOutcome;

use super::{Answer, Event, ORDER_LATENCY_MS, World, addressee};

/// Time after which a start is repeated.
const REPEAT_DELAY_MS: u64 = 150;
/// Time after which the outcome of an order is known.
const OUTCOME_DELAY_MS: u64 = 400;
/// Time after which a late call is carried out.
const LATE_DELAY_MS: u64 = 2_000;

/// When a call is carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Never.
    Never,
    /// Before its sender learns its outcome.
    Prompt,
    /// Seconds after its sender has given it up.
    Late,
}

/// What becomes of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fate {
    /// When it is carried out.
    pub effect: Effect,
    /// What its sender learns; `None` if the call is dropped before there is an outcome.
    pub outcome: Option<OrderAnswer>,
}

/// What becomes of a start order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartScript {
    /// Its first call.
    pub first: Fate,
    /// Its second call, if it is repeated.
    pub second: Option<Fate>,
}

impl Fate {
    /// Returns everything that may become of a call that has an outcome.
    pub fn with_outcome() -> Vec<Self> {
        let fate = |effect, outcome| Self {
            effect,
            outcome: Some(outcome),
        };
        vec![
            fate(Effect::Prompt, OrderAnswer::Done),
            fate(Effect::Prompt, OrderAnswer::Unknown),
            fate(Effect::Late, OrderAnswer::Unknown),
            fate(Effect::Never, OrderAnswer::Unknown),
            fate(Effect::Never, OrderAnswer::Unhealthy),
            fate(Effect::Never, OrderAnswer::NoRoom),
            fate(Effect::Never, OrderAnswer::Malformed),
            fate(Effect::Never, OrderAnswer::NotSent),
        ]
    }

    /// Returns everything that may become of a call that is dropped.
    pub fn dropped() -> Vec<Self> {
        let effects = [Effect::Never, Effect::Prompt, Effect::Late];
        let fates = effects.map(|effect| Self {
            effect,
            outcome: None,
        });
        fates.to_vec()
    }
}

impl StartScript {
    /// Returns the script of an order that is not repeated.
    pub const fn once(first: Fate) -> Self {
        Self {
            first,
            second: None,
        }
    }

    /// Returns everything that may become of a start order.
    pub fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for fate in Fate::with_outcome() {
            let twice = |first: &Fate, second: &Fate| Self {
                second: Some(second.clone()),
                ..Self::once(first.clone())
            };
            all.push(Self::once(fate.clone()));
            all.extend(Fate::with_outcome().iter().map(|other| twice(&fate, other)));
            for dropped in Fate::dropped() {
                all.push(twice(&fate, &dropped));
                all.push(twice(&dropped, &fate));
            }
        }
        all
    }

    /// Returns the calls with the times at which they are sent.
    fn calls(&self) -> impl Iterator<Item = (u64, &Fate)> {
        let second = self.second.iter().map(|fate| (REPEAT_DELAY_MS, fate));
        std::iter::once((0, &self.first)).chain(second)
    }

    fn outcome(&self) -> StartOutcome {
        let outcomes = self.calls().filter_map(|(_, fate)| fate.outcome.clone());
        let outcomes: Vec<OrderAnswer> = outcomes.collect();
        match <[OrderAnswer; 2]>::try_from(outcomes) {
            Ok(outcomes) => StartOutcome::of_calls(outcomes),
            Err(outcomes) => {
                let outcome = outcomes.into_iter().next();
                StartOutcome::of_call(outcome.unwrap_or(OrderAnswer::Unknown))
            }
        }
    }
}

impl World {
    /// Sends a start order whose calls have these fates.
    pub(super) fn send_scripted_start(&mut self, order: &Order, script: &StartScript) {
        let Order::Start {
            worker,
            member,
            run,
            ..
        } = order
        else {
            return;
        };
        let (worker, member, run) = (worker.clone(), member.clone(), *run);
        for (sent_after, fate) in script.calls() {
            if sent_after > 0 {
                self.schedule_repeat(sent_after, &member, run);
            }
            let delay = match fate.effect {
                Effect::Never => continue,
                Effect::Prompt => ORDER_LATENCY_MS,
                Effect::Late => LATE_DELAY_MS,
            };
            self.schedule_call(sent_after + delay, order);
        }
        let clock = None;
        let answer = Answer::Start(worker, member, run, script.outcome(), clock);
        let (at, term) = (self.now + OUTCOME_DELAY_MS, self.term);
        self.schedule(at, Event::Answer { term, answer });
    }

    fn schedule_repeat(&mut self, delay_ms: u64, member: &MemberKey, run: u32) {
        let (at, term) = (self.now + delay_ms, self.term);
        let member = member.clone();
        self.schedule(at, Event::StartRepeated { term, member, run });
    }

    /// Lets an order arrive at its worker, whose answer is lost.
    fn schedule_call(&mut self, delay_ms: u64, order: &Order) {
        let (worker, _) = addressee(order);
        let model = worker.and_then(|worker| self.workers.get(worker));
        let event = Event::Order {
            order: order.clone(),
            term: self.term,
            born_ms: model.and_then(|model| model.entry.born_ms),
            lost: true,
        };
        self.schedule(self.now + delay_ms, event);
    }
}
