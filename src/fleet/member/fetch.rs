//! Fetching a later view from another member, one page per datagram, and serving pages of the installed view.

use super::receive::Sender;
use super::{Action, Member, MAX_MEMBERS};
use crate::fleet::frame::{Message, ENTRIES_PER_PAGE};
use crate::fleet::view::{View, ViewEntry, ViewId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of pages that are fetched: a view's members, and as many ended generations.
const MAX_PAGES: usize = 2 * MAX_MEMBERS / ENTRIES_PER_PAGE;
/// Timeout of a page, in ack timeouts.
const PAGE_TIMEOUT_ANSWERS: u32 = 2;

/// A view that is being fetched.
pub(super) struct Fetch {
    pub(super) id: ViewId,
    from: String,
    pages: BTreeMap<u16, Vec<ViewEntry>>,
    count: u16,
    /// When the fetch is given up unless another page arrives.
    pub(super) until: Duration,
}

impl Member {
    /// Requests the first page of a sender's later view, unless that view or a later one is being fetched already.
    pub(super) fn request_view(&mut self, now: Duration, sender: Sender, actions: &mut Vec<Action>) {
        let id = sender.view;
        if self.fetch.as_ref().is_some_and(|fetch| fetch.id >= id && now < fetch.until) {
            return;
        }
        let until = now + self.own.ack_timeout * PAGE_TIMEOUT_ANSWERS;
        let from = sender.name.to_string();
        self.fetch = Some(Fetch { id, from, pages: BTreeMap::new(), count: 0, until });
        self.send(sender.address, Message::Fetch(0), actions);
    }

    /// Sends a page of the installed view.
    pub(super) fn serve_page(&mut self, page: u16, to: SocketAddr, actions: &mut Vec<Action>) {
        if self.view.id == ViewId::default() {
            return;
        }
        let pages = self.view.entries().count().div_ceil(ENTRIES_PER_PAGE).max(1) as u16;
        if page < pages {
            let entries = self
                .view
                .entries()
                .skip(usize::from(page) * ENTRIES_PER_PAGE)
                .take(ENTRIES_PER_PAGE)
                .collect();
            self.send(to, Message::Page { page, pages, entries }, actions);
        }
    }

    /// Stores a received page, and requests the next one or installs the complete view.
    pub(super) fn receive_page(
        &mut self,
        now: Duration,
        sender: Sender,
        (page, pages, entries): (u16, u16, Vec<ViewEntry>),
        actions: &mut Vec<Action>,
    ) {
        let id = sender.view;
        if usize::from(pages) > MAX_PAGES {
            return;
        }
        let Some(fetch) = self.fetch.as_mut().filter(|it| it.id == id && id > self.view.id) else { return };
        fetch.count = pages;
        fetch.pages.insert(page, entries);
        if fetch.pages.len() < usize::from(fetch.count) {
            let next = (0..pages).find(|page| !fetch.pages.contains_key(page)).unwrap_or(0);
            fetch.until = now + self.own.ack_timeout * PAGE_TIMEOUT_ANSWERS;
            return self.send(sender.address, Message::Fetch(next), actions);
        }
        let Some(fetch) = self.fetch.take() else { return };
        let view = View::from_entries(id, fetch.pages.into_values().flatten());
        self.install(now, view, &format!("fetched from {}", fetch.from), actions);
    }

    /// Gives up a fetch whose next page did not arrive in time.
    pub(super) fn expire_fetch(&mut self, now: Duration) {
        self.fetch = self.fetch.take().filter(|fetch| now < fetch.until);
    }
}
