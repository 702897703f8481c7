//! Tests of the list of servers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use super::reason::LeavingSource;
use super::servers::ServerChange;
use super::servers::ServerEntry;
use super::servers::ServerList;
use super::servers::ServerState;
use super::servers::LAPSE_GRACE;
use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::name::ServiceName;

const NOW: Millis = Millis(5_000);

fn ready(born: Option<u64>) -> ServerEntry {
    ServerEntry {
        id: ServerName::new("s-0"),
        service: ServiceName::new("plain"),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1_000),
        domain: DomainName::new("north"),
        state: ServerState::Ready,
        slots: 8,
        born,
        engine: None,
    }
}

fn list_of(entry: ServerEntry) -> ServerList {
    let mut list = ServerList::default();
    list.on_list(NOW, vec![entry]);
    list
}

fn state_of(list: &ServerList) -> Option<ServerState> {
    list.get(&ServerName::new("s-0")).map(|e| e.state)
}

#[test]
fn an_announced_leaving_outlives_reloads_that_omit_the_server_or_call_it_ready() {
    let entry = ready(Some(7));
    let mut list = list_of(entry.clone());
    assert!(list.on_leaving(NOW, &entry.id, entry.born, LeavingSource::Answer));
    assert_eq!(state_of(&list), Some(ServerState::Leaving));
    list.on_list(NOW, vec![entry.clone()]);
    assert_eq!(state_of(&list), Some(ServerState::Leaving));
    list.on_list(NOW, Vec::new());
    assert_eq!(state_of(&list), None);
    list.on_list(NOW, vec![entry]);
    assert_eq!(state_of(&list), Some(ServerState::Leaving));
}

#[test]
fn an_announced_leaving_does_not_concern_a_later_incarnation() {
    let mut list = list_of(ready(Some(7)));
    let id = ServerName::new("s-0");
    assert!(list.on_leaving(NOW, &id, Some(7), LeavingSource::Answer));
    list.on_change(NOW, ServerChange::Put(ready(Some(8))));
    assert_eq!(state_of(&list), Some(ServerState::Ready));
    assert!(!list.on_leaving(NOW, &id, Some(7), LeavingSource::Host), "it is heard again, late");
    assert_eq!(state_of(&list), Some(ServerState::Ready));
}

#[test]
fn an_announcement_heard_before_the_entry_of_that_incarnation_concerns_it() {
    let mut list = list_of(ready(Some(7)));
    list.on_leaving(NOW, &ServerName::new("s-0"), Some(8), LeavingSource::Host);
    list.on_change(NOW, ServerChange::Put(ready(Some(8))));
    assert_eq!(state_of(&list), Some(ServerState::Leaving));
}

#[test]
fn only_announcements_that_this_host_received_are_passed_on() {
    let mut list = list_of(ready(Some(7)));
    let id = ServerName::new("s-0");
    list.on_leaving(NOW, &id, Some(7), LeavingSource::Host);
    assert_eq!(list.announced_leaving().count(), 0);
    list.on_change(NOW, ServerChange::Put(ready(Some(8))));
    list.on_leaving(NOW, &id, Some(8), LeavingSource::Answer);
    assert_eq!(list.announced_leaving().collect::<Vec<_>>(), [(&id, Some(8))]);
}

#[test]
fn an_announcement_is_forgotten_when_its_server_has_long_been_gone() {
    let mut list = list_of(ready(None));
    let id = ServerName::new("s-0");
    list.on_leaving(NOW, &id, None, LeavingSource::Answer);
    list.on_tick(NOW + Millis(3_600_000));
    assert_eq!(state_of(&list), Some(ServerState::Leaving), "it is still listed");
    list.on_change(NOW, ServerChange::Gone(id));
    list.on_tick(NOW + Millis(7_200_000));
    list.on_change(NOW, ServerChange::Put(ready(None)));
    assert_eq!(state_of(&list), Some(ServerState::Ready));
}

fn with_slots(slots: u32) -> ServerEntry {
    ServerEntry { slots, ..ready(Some(7)) }
}

fn slots_of(list: &ServerList) -> Option<u32> {
    list.get(&ServerName::new("s-0")).map(|e| e.slots)
}

#[test]
fn what_an_older_copy_says_of_a_known_server_is_held_back_until_servers_have_written_again() {
    let mut list = list_of(with_slots(9));
    list.on_store_restored(NOW);
    list.on_older_copy(NOW, ServerChange::Put(with_slots(8)));
    list.on_tick(NOW + LAPSE_GRACE - Millis(1));
    assert_eq!(slots_of(&list), Some(9));
    list.on_tick(NOW + LAPSE_GRACE);
    assert_eq!(slots_of(&list), Some(8), "the server has not written again");
}

#[test]
fn an_entry_written_again_replaces_what_was_held_back() {
    let mut list = list_of(with_slots(9));
    list.on_store_restored(NOW);
    list.on_older_copy(NOW, ServerChange::Put(with_slots(8)));
    list.on_change(NOW + Millis(300), ServerChange::Put(with_slots(10)));
    list.on_tick(NOW + LAPSE_GRACE);
    assert_eq!(slots_of(&list), Some(10));
}

#[test]
fn a_server_that_an_older_copy_lacks_is_kept_until_servers_have_written_again() {
    let mut list = list_of(with_slots(9));
    list.on_store_restored(NOW);
    list.on_older_copy(NOW, ServerChange::Gone(ServerName::new("s-0")));
    list.on_tick(NOW + LAPSE_GRACE - Millis(1));
    assert_eq!(slots_of(&list), Some(9));
    list.on_tick(NOW + LAPSE_GRACE);
    assert_eq!(slots_of(&list), None);
}

#[test]
fn a_removed_server_is_not_taken_from_an_older_copy_unless_it_has_started_anew() {
    let mut list = list_of(ready(Some(7)));
    list.on_change(NOW, ServerChange::Gone(ServerName::new("s-0")));
    list.on_store_restored(NOW);
    list.on_older_copy(NOW, ServerChange::Put(ready(Some(7))));
    list.on_tick(NOW + LAPSE_GRACE);
    assert_eq!(state_of(&list), None);
    list.on_older_copy(NOW, ServerChange::Put(ready(Some(8))));
    assert_eq!(state_of(&list), Some(ServerState::Ready));
}

#[test]
fn an_older_copy_does_not_make_a_leaving_server_ready_before_it_has_written_again() {
    let mut list = list_of(ServerEntry { state: ServerState::Leaving, ..ready(Some(7)) });
    list.on_store_restored(NOW);
    list.on_older_copy(NOW, ServerChange::Put(ready(Some(7))));
    assert_eq!(state_of(&list), Some(ServerState::Leaving));
}
