//! The table of recent requests: which may be taken again, what is forgotten, and what two processes tell one another.

use haventrack::api::{DedupGroup, Effect};
use haventrack::recent_requests::{IdHash, IdNews, RecentRequests};

const MEMORY: usize = 32 << 20;
const SECOND: u64 = 1_000_000;
const TTL: u64 = 3 * SECOND;

fn keyed(group: DedupGroup) -> Effect {
    Effect::Keyed { group, ttl: TTL }
}

#[test]
fn a_request_that_may_have_run_is_taken_again_only_where_a_second_run_is_dropped() {
    let id = IdHash::of("one");
    for (effect, again_soon, again_late) in [
        (Effect::Safe, true, true),
        (Effect::Unsafe, false, false),
        (keyed(DedupGroup::All), true, false),
        (keyed(DedupGroup::Zone), false, false),
    ] {
        let mut recent = RecentRequests::within(MEMORY);
        assert!(recent.take(0, id, &effect));
        recent.end(SECOND, id, true);
        assert_eq!(recent.take(2 * SECOND, id, &effect), again_soon, "{effect:?}");
        assert_eq!(recent.take(TTL, id, &effect), again_late, "{effect:?}");
    }
}

#[test]
fn a_request_is_not_taken_twice_while_it_is_open_and_may_come_again_if_it_never_ran() {
    let (mut recent, id) = (RecentRequests::within(MEMORY), IdHash::of("one"));
    assert!(recent.take(0, id, &Effect::Unsafe));
    assert!(!recent.take(1, id, &Effect::Unsafe));
    recent.end(2, id, false);
    assert!(recent.take(3, id, &Effect::Unsafe));
}

#[test]
fn ever_new_ids_take_no_more_than_their_part_of_the_memory() {
    let mut recent = RecentRequests::within(1 << 20);
    for n in 0..100_000 {
        let id = IdHash::of(&n.to_string());
        assert!(recent.take(n, id, &Effect::Unsafe));
        recent.end(n, id, n % 2 == 0);
    }
    assert!(recent.known().count() <= (1 << 20) / 32 / 64);
    assert!(!recent.take(100_000, IdHash::of("99998"), &Effect::Unsafe), "the newest are kept");
}

#[test]
fn an_id_is_forgotten_in_the_end() {
    let (mut recent, id) = (RecentRequests::within(MEMORY), IdHash::of("one"));
    assert!(recent.take(0, id, &Effect::Unsafe));
    recent.end(0, id, true);
    assert!(!recent.take(59 * SECOND, id, &Effect::Unsafe));
    assert!(recent.take(60 * SECOND, id, &Effect::Unsafe));
}

#[test]
fn news_of_another_process_hold_here_and_free_only_what_is_its_own() {
    let (mut recent, theirs, own) = (RecentRequests::within(MEMORY), IdHash::of("theirs"), IdHash::of("own"));
    for news in [IdNews::Taken(theirs), IdNews::Freed(theirs)] {
        assert_eq!(news.to_string().parse(), Ok(news));
    }
    assert!("12 34".parse::<IdNews>().is_err());
    recent.hear(0, IdNews::Taken(theirs));
    assert!(!recent.take(1, theirs, &Effect::Unsafe));
    recent.hear(2, IdNews::Freed(theirs));
    assert!(recent.take(3, theirs, &Effect::Unsafe));
    assert!(recent.take(4, own, &Effect::Unsafe));
    recent.hear(5, IdNews::Freed(own));
    assert!(!recent.take(6, own, &Effect::Unsafe));
}
