//! State task: the only writer of the state.

use std::sync::Arc;

use nutmegbay_core::ids::Offset;
use nutmegbay_core::record::{Body, ConfigPublish, ConfigScope, Record};
use nutmegbay_proto::platform::{InstanceList, ReadResponse};
use nutmegbay_settings::parse_site;
use tokio::sync::{mpsc, watch};

use super::keys::Keys;
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
    next: Offset,
    base: Option<Box<str>>,
    overlay: Option<Box<str>>,
    last_config: Option<Offset>,
    keys: Keys,
}

impl Actor {
    /// Creates the state of the given site and the channel on which it is published.
    pub fn new(site: Box<str>, open_keys: Arc<OpenKeys>) -> (Self, watch::Receiver<Arc<View>>) {
        let (view, rx) = watch::channel(Arc::default());
        let actor = Self {
            site,
            open_keys,
            view,
            next: Offset::default(),
            base: None,
            overlay: None,
            last_config: None,
            keys: Keys::default(),
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
        let config = self.last_config;
        let mut has_keys = false;
        let mut withdrawn = Vec::new();
        for entry in &read.records {
            if entry.offset < self.next {
                continue;
            }
            self.next = entry.offset.next();
            let Ok(record) = serde_json::from_str::<Record>(entry.record.get()) else {
                tracing::warn!(event = "record_skipped", offset = %entry.offset);
                continue;
            };
            match record.body {
                Body::ConfigPublish(publish) => self.publish(entry.offset, publish),
                Body::KeyGrant(grant) => {
                    self.keys.grant(&grant);
                    has_keys = true;
                }
                Body::KeyWithdraw(withdraw) => {
                    self.keys.withdraw(&withdraw);
                    withdrawn.push(withdraw.key);
                    has_keys = true;
                }
                _ => {}
            }
        }
        let is_current = self.next >= read.head;
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            view.next = self.next;
            view.is_current |= is_current;
            if has_keys {
                view.keys = Arc::new(self.keys.clone());
            }
        });
        if config != self.last_config {
            self.put_in_force();
        }
        for key in withdrawn {
            self.open_keys.withdraw(&key);
        }
    }

    fn publish(&mut self, offset: Offset, publish: ConfigPublish) {
        if publish.prev != self.last_config {
            return;
        }
        self.last_config = Some(offset);
        match publish.scope {
            ConfigScope::Base => self.base = Some(publish.text),
            ConfigScope::Overlay(site) if site == self.site => self.overlay = Some(publish.text),
            ConfigScope::Overlay(_) => {}
        }
    }

    fn put_in_force(&mut self) {
        let Some(base) = &self.base else {
            return;
        };
        let parsed = parse_site(base, self.overlay.as_deref());
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            match parsed {
                Ok(site) => {
                    view.site = Some(Arc::new(site));
                    view.config = self.last_config;
                    view.config_rejected = None;
                }
                Err(e) => {
                    tracing::error!(event = "config_rejected", error = %e.current_context());
                    view.config_rejected = self.last_config;
                }
            }
        });
    }
}
