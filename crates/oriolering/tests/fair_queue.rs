//! Order, fairness and bounds of the queue.

use std::collections::HashMap;

use oriolering::{
    CallId, Decision, FairQueue, Gate, GateSettings, Incarnation, Millis, Offer, PushResult, Ticket,
};
use rstest::rstest;

const LATER: Millis = Millis(1_000_000);

/// Returns distinct tickets, which only a gate can make.
fn tickets(count: u32) -> Vec<Ticket> {
    let settings = GateSettings {
        initial: count,
        min: count,
        max: count,
        queue_length: 1,
        queue_wait_ms: 1,
        ramp_ms: 0,
        sessions: 1,
        max_state_runs: count,
    };
    let mut gate = Gate::new(settings, Incarnation(1), Millis(0));
    let grant = gate.open_session(Millis(0));
    let ids = (1..=u64::from(count)).map(|seq| CallId { grant, seq });
    ids.map(|id| start(&mut gate, id)).collect()
}

fn start(gate: &mut Gate, id: CallId) -> Ticket {
    let offer = Offer {
        id,
        ack: 0,
        customer: 0,
        deadline: LATER,
        fingerprint: 0,
    };
    match gate.offer(Millis(0), offer) {
        Decision::Start(ticket) => ticket,
        Decision::Wait(_) | Decision::Refuse(_) => panic!("call {id:?} got no slot"),
    }
}

/// Pushes one call for each customer and returns the customer of each ticket.
fn fill(queue: &mut FairQueue, customers: &[u64]) -> HashMap<Ticket, u64> {
    let all = tickets(customers.len() as u32);
    for (ticket, customer) in all.iter().zip(customers) {
        assert_eq!(queue.push(*ticket, *customer, LATER), PushResult::Queued);
    }
    all.into_iter().zip(customers.iter().copied()).collect()
}

fn drain(queue: &mut FairQueue, owners: &HashMap<Ticket, u64>) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(|_| 0))
        .map(|ticket| owners[&ticket])
        .collect()
}

#[rstest]
#[case::one_customer(&[1, 1, 1], &[1, 1, 1])]
#[case::burst_first(&[1, 1, 1, 1, 2, 3], &[1, 2, 3, 1, 1, 1])]
#[case::two_bursts(&[1, 1, 1, 2, 2, 2], &[1, 2, 1, 2, 1, 2])]
fn lets_customers_take_turns(#[case] pushed: &[u64], #[case] popped: &[u64]) {
    let mut queue = FairQueue::new(16);
    let owners = fill(&mut queue, pushed);
    assert_eq!(drain(&mut queue, &owners), popped);
    assert!(queue.is_empty());
}

#[test]
fn prefers_the_customer_with_the_fewest_running_calls() {
    let mut queue = FairQueue::new(16);
    let owners = fill(&mut queue, &[1, 1, 2, 2]);
    let running = |customer| if customer == 1 { 5 } else { 1 };
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(running))
        .map(|ticket| owners[&ticket])
        .collect();
    assert_eq!(order, [2, 2, 1, 1]);
}

#[test]
fn evicts_the_newest_call_of_the_longest_lane() {
    let mut queue = FairQueue::new(4);
    let all = tickets(6);
    for ticket in &all[..4] {
        assert_eq!(queue.push(*ticket, 1, LATER), PushResult::Queued);
    }
    assert_eq!(queue.push(all[4], 1, LATER), PushResult::Full);
    assert_eq!(queue.push(all[4], 2, LATER), PushResult::Evicted(all[3]));
    assert_eq!(queue.push(all[3], 1, LATER), PushResult::Share);
    assert_eq!(queue.push(all[5], 2, LATER), PushResult::Evicted(all[2]));
    assert_eq!(queue.push(all[3], 2, LATER), PushResult::Share);
    assert_eq!(queue.push(all[3], 3, LATER), PushResult::Evicted(all[5]));
    assert_eq!(queue.len(), 4);
}

#[test]
fn refuses_when_every_customer_has_its_share() {
    let mut queue = FairQueue::new(3);
    let all = tickets(4);
    for (ticket, customer) in all[..3].iter().zip([1, 2, 3]) {
        assert_eq!(queue.push(*ticket, customer, LATER), PushResult::Queued);
    }
    assert_eq!(queue.push(all[3], 4, LATER), PushResult::Full);
    assert_eq!(queue.push(all[3], 1, LATER), PushResult::Share);
}

#[test]
fn takes_nothing_without_length() {
    let mut queue = FairQueue::new(0);
    assert_eq!(queue.push(tickets(1)[0], 1, LATER), PushResult::Full);
    assert!(queue.is_empty());
}

#[test]
fn expires_in_the_order_of_time() {
    let mut queue = FairQueue::new(8);
    let all = tickets(3);
    for (ticket, at) in all.iter().zip([30, 10, 20]) {
        assert_eq!(queue.push(*ticket, 1, Millis(at)), PushResult::Queued);
    }
    assert_eq!(queue.next_expiry(), Some(Millis(10)));
    assert_eq!(queue.expire(Millis(9)), None);
    assert_eq!(queue.expire(Millis(20)), Some(all[1]));
    assert_eq!(queue.expire(Millis(20)), Some(all[2]));
    assert_eq!(queue.expire(Millis(20)), None);
    assert_eq!(queue.next_expiry(), Some(Millis(30)));
    assert!(queue.remove(all[0]));
    assert!(!queue.remove(all[0]));
    assert_eq!(queue.next_expiry(), None);
}

#[rstest]
#[case::quiet_customer(3, 2)]
#[case::burst_customer(1, 5)]
#[case::between(2, 3)]
fn counts_the_calls_ahead_of_a_customer(#[case] customer: u64, #[case] ahead: usize) {
    let mut queue = FairQueue::new(8);
    fill(&mut queue, &[1, 1, 1, 1, 2]);
    assert_eq!(queue.ahead(customer), ahead);
}

#[test]
fn delays_only_the_customer_with_the_burst() {
    let mut queue = FairQueue::new(64);
    let mut customers = vec![1; 50];
    customers.extend([2, 3, 4]);
    let owners = fill(&mut queue, &customers);
    let order = drain(&mut queue, &owners);
    for customer in [2, 3, 4] {
        let place = order.iter().position(|c| *c == customer);
        assert!(
            place.is_some_and(|place| place < 4),
            "{customer}: {place:?}"
        );
    }
}
