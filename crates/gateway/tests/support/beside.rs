//! Real sidecars beside a service or a fake engine.

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

/// Sidecar of the product with its address.
pub struct Beside {
    pub instance: Instance,
    pub stop: CancellationToken,
    task: AbortOnDropHandle<()>,
}

impl Beside {
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

    /// Ends the sidecar at once.
    pub fn kill(&self) {
        self.task.abort();
    }
}

/// Order service that counts what it does.
#[derive(Clone)]
pub struct Service {
    pub addr: SocketAddr,
    state: Arc<ServiceState>,
}

struct ServiceState {
    runs: AtomicU32,
    /// Calls that may be answered.
    answers: Semaphore,
}

impl Service {
    /// Service that answers at once.
    pub async fn start() -> Self {
        let service = Self::held().await;
        service.release();
        service
    }

    /// Service that does what it is told but answers only after [`Self::release`].
    pub async fn held() -> Self {
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

    /// Sidecar beside it.
    pub fn beside(&self, name: &str) -> Beside {
        Beside::start(name, InstanceKind::Service, "orders", self.addr)
    }
}

async fn run(State(state): State<Arc<ServiceState>>, body: Bytes) -> String {
    let number = state.runs.fetch_add(1, Ordering::SeqCst) + 1;
    let _answer = state.answers.acquire().await;
    format!("order {number}: {}", String::from_utf8_lossy(&body))
}

/// Fake engine of the repository with a sidecar beside it.
pub async fn engine(name: &str, cfg: EngineConfig) -> (FakeEngine, Beside) {
    let engine = FakeEngine::start(cfg).await.expect("engine");
    let beside = Beside::start(name, InstanceKind::Engine, "verse", engine.addr());
    (engine, beside)
}
