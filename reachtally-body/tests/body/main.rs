//! Memory of bodies while they are received and held.

use std::sync::Arc;

use reachtally_body::{BodyPool, BodyUse, Charge, NoMemory, Receiving};
use reachtally_core::Instant;
use reachtally_core::forward::bodies::{BodyLimits, SMALL_BODY_BYTES};

const NOW: Instant = Instant::ZERO;
const LIMITS: BodyLimits = BodyLimits {
    small: 4 * SMALL_BODY_BYTES,
    large: 3 * SMALL_BODY_BYTES,
};
const BODY: &[u8] = &[b'x'; 2 * SMALL_BODY_BYTES as usize];

fn receive(pool: &Arc<BodyPool>) -> Receiving {
    let mut receiving = Receiving::begin(pool, BODY.len() as u64, NOW);
    receiving.push(BODY, LIMITS, NOW).expect("there is memory");
    receiving
}

#[test]
fn a_body_counts_until_its_last_copy_is_dropped() {
    let pool = Arc::new(BodyPool::default());
    let bytes = receive(&pool).complete().expect("it did not give way");
    let copy = bytes.slice(1..2);
    drop(bytes);
    let held = BodyUse {
        bytes: BODY.len() as u64,
        count: 1,
        incomplete: 0,
    };
    assert_eq!(pool.usage(), held);
    drop(copy);
    assert_eq!(pool.bytes(), 0);
}

#[tokio::test]
async fn a_body_that_gives_way_frees_its_memory_at_once_and_is_not_completed() {
    let pool = Arc::new(BodyPool::default());
    let mut receiving = receive(&pool);
    let bytes = BODY.len() as u64;
    let charge = Charge::reserve(&pool, bytes, LIMITS, NOW).expect("the other one gives way");
    assert_eq!((receiving.received(), pool.bytes()), (0, bytes));
    receiving.evicted().await;
    assert_eq!(receiving.push(b"x", LIMITS, NOW), Err(NoMemory));
    assert_eq!(receiving.complete(), Err(NoMemory));
    assert_eq!(pool.bytes(), bytes);
    drop(charge);
    assert_eq!(pool.bytes(), 0);
}
