//! Stand-in backends: HTTP/1.1 servers on hyper that answer as the platform's protocol says
//! (`../docs/PROTOCOL`, "Proxies to backends"), with a service time, errors, cold start and a behaviour that the
//! timeline changes.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// How a backend behaves now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// As its group says.
    Normal,
    /// Service times this many times as long.
    Slow(f64),
    /// Every request gets 500.
    Fail,
    /// No request is ever answered.
    Hang,
}

/// One stand-in backend's fixed traits.
#[derive(Clone, Copy, Debug)]
pub struct Traits {
    /// Mean service time.
    pub service: Duration,
    /// Share of 500 answers, in [0, 1].
    pub error_share: f64,
    /// Cold for this long after its start.
    pub warm: Duration,
}

/// A running stand-in backend.
pub struct Backend {
    /// Where it listens (the relay before it dials here).
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Backend {
    /// Starts a backend on `host:0` with these traits. Its random numbers come from `seed`.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(host: std::net::IpAddr, traits: Traits, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let behaviour = Arc::new(Mutex::new(Behaviour::Normal));
        let state = Arc::new(Shared { traits, behaviour: Arc::clone(&behaviour), born: Instant::now() });
        tokio::spawn(accept(listener, state, seed));
        Ok(Self { address, behaviour })
    }

    /// Changes how it behaves from now on.
    pub fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap_or_else(|e| e.into_inner()) = behaviour;
    }
}

struct Shared {
    traits: Traits,
    behaviour: Arc<Mutex<Behaviour>>,
    born: Instant,
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A service time: exponential around the mean, three times as long at the start of a cold backend, falling
    /// linearly to the mean by the end of its warm-up.
    fn service(&self, rng: &mut fastrand::Rng, factor: f64) -> Duration {
        let age = self.born.elapsed().as_secs_f64();
        let warm = self.traits.warm.as_secs_f64();
        let cold = if warm > 0.0 && age < warm { 1.0 + 2.0 * (1.0 - age / warm) } else { 1.0 };
        let draw = -(1.0 - rng.f64()).ln();
        self.traits.service.mul_f64(draw * cold * factor)
    }
}

async fn accept(listener: TcpListener, state: Arc<Shared>, seed: u64) {
    let mut connection = 0_u64;
    while let Ok((stream, _)) = listener.accept().await {
        connection += 1;
        let state = Arc::clone(&state);
        let rng = Arc::new(Mutex::new(fastrand::Rng::with_seed(seed ^ connection.wrapping_mul(0x9e37_79b9))));
        let service = service_fn(move |request| answer(Arc::clone(&state), Arc::clone(&rng), request));
        tokio::spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn reply(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response
}

async fn answer(
    state: Arc<Shared>,
    rng: Arc<Mutex<fastrand::Rng>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let probe = matches!(request.uri().path(), "/alive" | "/metrics/load");
    let has_id = request.headers().contains_key("x-correlation-id");
    // A backend begins a request once its last byte has come.
    let _ = request.into_body().collect().await;
    let behaviour = state.behaviour();
    if probe {
        let alive = !matches!(behaviour, Behaviour::Fail | Behaviour::Hang);
        return Ok(if alive {
            reply(StatusCode::OK, "{}")
        } else {
            reply(StatusCode::SERVICE_UNAVAILABLE, "")
        });
    }
    if !has_id {
        return Ok(reply(StatusCode::NOT_FOUND, "no X-Correlation-Id"));
    }
    let (factor, fails) = match behaviour {
        Behaviour::Normal => (1.0, false),
        Behaviour::Slow(factor) => (factor, false),
        Behaviour::Fail => (1.0, true),
        Behaviour::Hang => return Ok(std::future::pending().await),
    };
    let (wait, error) = {
        let mut rng = rng.lock().unwrap_or_else(|e| e.into_inner());
        (state.service(&mut rng, factor), fails || rng.f64() < state.traits.error_share)
    };
    // The timer's grain is a millisecond: a wait of nothing would still cost one.
    if !wait.is_zero() {
        tokio::time::sleep(wait).await;
    }
    Ok(if error { reply(StatusCode::INTERNAL_SERVER_ERROR, "error") } else { reply(StatusCode::OK, "done") })
}
