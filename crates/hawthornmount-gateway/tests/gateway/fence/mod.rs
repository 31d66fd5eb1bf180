//! Model check of the fence: whatever an instance confirms is in force.
//!
//! The product's own followers run on simulated time, and each of their calls waits until the model
//! answers it. The model plays the events of a few instances, their store and its operator in all
//! orders, up to a number of events (docs/design/fence-check.md).

mod action;
mod choice;
mod codec;
mod explore;
mod history;
mod network;
mod node;
mod promise;
mod world;

use {
    action::{
        Action::{self, Arrive, Configure, Deliver, Drain, Reply, Restart, Restore, Wait},
        Fault, Setup,
    },
    explore::search,
    rstest::rstest,
    std::time::Duration,
};

/// Time before the next list in which the operator can write twice.
const LEAD: Duration = Duration::from_millis(250);

/// One instance to which nothing happens.
const QUIET: Setup = Setup {
    instances: 1,
    configurations: 0,
    drains: 0,
    records: 0,
    restores: 0,
    restarts: 0,
    losses: 0,
    lead: LEAD,
    page_entries: usize::MAX,
    before: &[],
    fault: Fault::None,
};
/// A reader, instance 0, and its follower.
const RELAYED: Setup = Setup { instances: 2, ..QUIET };
/// Violations of the promise that what is confirmed is in force, and of the one that a confirmation
/// is no younger than the question to the store.
const MISSING: &str = "is missing in what it confirms";
const YOUNGER: &str = "the store was asked";
/// A list in which the instance sees what has changed, after it asked whether anything has.
const SEEN: [Action; 3] = [Wait, Deliver(0, 0), Deliver(0, 0)];

/// The store is restored, and the operator writes at a revision that was assigned before.
const REVISION_ASSIGNED_AGAIN: &[Action] =
    &[Configure, SEEN[0], SEEN[1], SEEN[2], Restore, Configure];
/// The store forgets that a server drains which the instance no longer uses.
const DRAINING_FORGOTTEN: &[Action] = &[Drain, SEEN[0], SEEN[1], SEEN[2], Restore];
/// The store forgets a change that no instance has seen. The reader starts again and knows nothing
/// of before, while its follower does.
const READER_KNOWS_NOTHING: &[Action] =
    &[Wait, Deliver(0, 0), Reply(1), Configure, Restore, Restart(0), Deliver(0, 0), Arrive(1)];

/// A configuration is written between two pages of the reader's list, and is missing in the first.
const CHANGED_BETWEEN_PAGES: &[Action] =
    &[Drain, Wait, Deliver(0, 0), Deliver(0, 0), Configure, Deliver(0, 0), Reply(1), Restart(0)];

#[rstest]
#[case::changes_and_lost_calls(Setup { configurations: 2, drains: 1, losses: 1, ..QUIET }, 6)]
#[case::pages(Setup { configurations: 1, drains: 1, page_entries: 2, ..QUIET }, 7)]
#[case::watch_and_dropped_history(
    Setup { configurations: 1, records: 1, losses: 1, ..QUIET }, 5
)]
#[case::restore_between_two_pages(
    Setup { drains: 1, restores: 1, page_entries: 2, ..QUIET }, 7
)]
#[case::late_answer_after_a_restore(Setup { configurations: 1, restores: 1, ..QUIET }, 8)]
#[case::restart_and_restore(Setup { configurations: 1, restores: 1, restarts: 1, ..QUIET }, 6)]
#[case::revision_assigned_again(
    Setup { configurations: 2, restores: 1, before: REVISION_ASSIGNED_AGAIN, ..QUIET }, 7
)]
#[case::draining_forgotten(
    Setup { drains: 1, restores: 1, before: DRAINING_FORGOTTEN, ..QUIET }, 7
)]
#[case::late_and_lost_relays(Setup { configurations: 1, losses: 1, ..RELAYED }, 6)]
#[case::relayed_restore(Setup { configurations: 1, restores: 1, ..RELAYED }, 7)]
#[case::reader_that_knows_nothing_of_a_restore(
    Setup { configurations: 1, restores: 1, restarts: 1, before: READER_KNOWS_NOTHING, ..RELAYED },
    7
)]
#[case::reader_restarts_after_a_change_between_two_pages(
    Setup {
        configurations: 1,
        drains: 1,
        restarts: 1,
        page_entries: 3,
        before: CHANGED_BETWEEN_PAGES,
        ..RELAYED
    },
    5
)]
#[case::change_of_reader(Setup { instances: 3, configurations: 1, losses: 2, ..QUIET }, 6)]
fn whatever_is_confirmed_is_in_force(#[case] setup: Setup, #[case] depth: usize) {
    let search = search(&setup, depth);
    println!("{} schedules, {} states", search.schedules, search.states);
    if let Some(violation) = search.violation {
        panic!("{violation}");
    }
    assert!(search.has_confirmed_change, "the search ends before a change is confirmed");
}

/// Surroundings that break what the product relies on show that the search finds violations.
#[rstest]
#[case::confirmation_newer_than_its_content(
    Setup { configurations: 1, fault: Fault::StaleAnswers, ..QUIET }, 4, MISSING
)]
#[case::relayed_confirmation_gets_younger(
    Setup { fault: Fault::YoungerRelay(Duration::from_millis(200)), ..RELAYED }, 4, YOUNGER
)]
#[case::relayed_confirmation_without_its_content(
    Setup {
        configurations: 1,
        fault: Fault::YoungerRelay(Duration::from_millis(200)),
        before: &[Wait, Deliver(0, 0), Configure],
        ..RELAYED
    },
    4,
    MISSING
)]
#[case::written_again_after_the_settling_time(
    Setup {
        configurations: 1,
        restores: 1,
        before: &[Wait, Configure, Restore],
        fault: Fault::LateRestatement(Duration::from_secs(5)),
        ..QUIET
    },
    6,
    MISSING
)]
#[case::store_hides_its_restore(
    Setup { configurations: 1, restores: 1, fault: Fault::HiddenEra, ..QUIET }, 6, MISSING
)]
fn violation_is_found(#[case] setup: Setup, #[case] depth: usize, #[case] broken: &str) {
    let search = search(&setup, depth);
    let violation = search.violation.expect("a violation");
    println!("{} schedules: {violation}", search.schedules);
    assert!(violation.broken.contains(broken), "{violation}");
}
