//! Sidecars of the product in front of a test service or a fake engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::routing::any;
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use nutmegbay_proto::platform::{Instance, InstanceKind};
use nutmegbay_sidecar::{Settings, Sidecar};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// A running sidecar of the product.
pub struct RealSidecar {
    pub instance: Instance,
    pub stop: CancellationToken,
    task: AbortOnDropHandle<()>,
}

impl RealSidecar {
    fn start(name: &str, kind: InstanceKind, serves: &str, upstream: SocketAddr) -> Self {
        let text = format!(
            r#"{{ "instance": "{name}", "failure_domain": "a", "kind": "{kind}",
                  "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "upstream": "{upstream}",
                  "linger_ms": 10, "poll_ms": 20 }}"#
        );
        let settings = Settings::parse("test", &text).expect("settings");
        let sidecar = Sidecar::bind(settings).expect("addresses");
        let addr = sidecar.data_addr().expect("address");
        let stop = CancellationToken::new();
        let running = sidecar.run(stop.clone());
        let task = tokio::spawn(async move {
            let _ = running.await;
        });
        Self {
            instance: super::instance(name, kind, serves, addr),
            stop,
            task: AbortOnDropHandle::new(task),
        }
    }

    /// Aborts the sidecar without a shutdown.
    pub fn kill(&self) {
        self.task.abort();
    }
}

/// Order service that counts the calls that it runs.
#[derive(Clone)]
pub struct Service {
    pub addr: SocketAddr,
    state: Arc<ServiceState>,
}

struct ServiceState {
    runs: AtomicU32,
    /// Permits to answer calls.
    answers: Semaphore,
}

impl Service {
    /// Starts a service that answers at once.
    pub async fn start() -> Self {
        let service = Self::start_held().await;
        service.release();
        service
    }

    /// Starts a service that runs calls at once but answers them only after [`Self::release`].
    pub async fn start_held() -> Self {
        let state = Arc::new(ServiceState {
            runs: AtomicU32::new(0),
            answers: Semaphore::new(0),
        });
        let router = Router::new()
            .route("/{*path}", any(run))
            .with_state(Arc::clone(&state));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let addr = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { addr, state }
    }

    pub fn release(&self) {
        self.state.answers.add_permits(Semaphore::MAX_PERMITS / 2);
    }

    pub fn runs(&self) -> u32 {
        self.state.runs.load(Ordering::SeqCst)
    }

    /// Starts a sidecar in front of it.
    pub fn start_sidecar(&self, name: &str) -> RealSidecar {
        RealSidecar::start(name, InstanceKind::Service, "orders", self.addr)
    }
}

async fn run(State(state): State<Arc<ServiceState>>, body: Bytes) -> String {
    let number = state.runs.fetch_add(1, Ordering::SeqCst) + 1;
    let _answer = state.answers.acquire().await;
    format!("order {number}: {}", String::from_utf8_lossy(&body))
}

/// Starts a fake engine with a sidecar in front of it.
pub async fn engine(name: &str, cfg: EngineConfig) -> (FakeEngine, RealSidecar) {
    let engine = FakeEngine::start(cfg).await.expect("engine");
    let sidecar = RealSidecar::start(name, InstanceKind::Engine, "verse", engine.addr());
    (engine, sidecar)
}
