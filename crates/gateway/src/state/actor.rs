//! State task: the only writer of the state.

use std::sync::Arc;

use nutmegbay_core::record::Body;
use nutmegbay_core::replica::{Applied, Replica};
use nutmegbay_proto::platform::{InstanceList, ReadResponse};
use nutmegbay_settings::parse_site;
use tokio::sync::{mpsc, watch};

use super::revoke::OpenKeys;
use super::upstreams;
use super::view::View;

/// What the state task is told.
#[derive(Debug)]
pub enum Input {
    /// Records from the log.
    Read(ReadResponse),
    /// The platform's list of instances.
    Instances(InstanceList),
}

/// State task.
pub struct Actor {
    site: Box<str>,
    open_keys: Arc<OpenKeys>,
    view: watch::Sender<Arc<View>>,
    replica: Replica,
}

impl Actor {
    /// Creates the state of the given site and the channel on which it is published.
    pub fn new(site: Box<str>, open_keys: Arc<OpenKeys>) -> (Self, watch::Receiver<Arc<View>>) {
        let (view, rx) = watch::channel(Arc::default());
        let actor = Self {
            site,
            open_keys,
            view,
            replica: Replica::new(),
        };
        (actor, rx)
    }

    /// Handles inputs until all senders are gone.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        while let Some(input) = inputs.recv().await {
            match input {
                Input::Read(read) => self.apply(&read),
                Input::Instances(list) => self.view.send_modify(|view| {
                    let view = Arc::make_mut(view);
                    view.upstreams = upstreams::merge(&view.upstreams, &list);
                }),
            }
        }
    }

    fn apply(&mut self, read: &ReadResponse) {
        let config = self.replica.config().last();
        let mut has_keys = false;
        let mut withdrawn = Vec::new();
        for entry in &read.records {
            match self.replica.apply(entry.offset, entry.record.get()) {
                Applied::Accepted(record) => match record.body {
                    Body::KeyGrant(_) => has_keys = true,
                    Body::KeyWithdraw(withdraw) => {
                        has_keys = true;
                        withdrawn.push(withdraw.key);
                    }
                    _ => {}
                },
                Applied::Unreadable(reason) => {
                    tracing::warn!(event = "record_skipped", offset = %entry.offset, reason);
                }
                _ => {}
            }
        }
        let is_current = self.replica.next() >= read.head;
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            view.next = self.replica.next();
            view.is_current |= is_current;
            if has_keys {
                view.keys = Arc::new(self.replica.keys().clone());
            }
        });
        if config != self.replica.config().last() {
            self.put_in_force();
        }
        for key in withdrawn {
            self.open_keys.withdraw(&key);
        }
    }

    fn put_in_force(&mut self) {
        let config = self.replica.config();
        let Some(base) = config.base() else {
            return;
        };
        let overlay = config.overlay(&self.site).map(|o| &*o.text);
        let offset = config.last();
        let parsed = parse_site(&base.text, overlay);
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            match parsed {
                Ok(site) => {
                    view.site = Some(Arc::new(site));
                    view.config = offset;
                    view.config_rejected = None;
                    tracing::info!(event = "config_applied", offset = offset.map(|o| o.0));
                }
                Err(e) => {
                    tracing::error!(event = "config_rejected", error = %e.current_context());
                    view.config_rejected = offset;
                }
            }
        });
    }
}
