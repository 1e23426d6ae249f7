//! A pass-through proxy built on the same HTTP library as the router, as a
//! baseline for the router's overhead.

use std::net::SocketAddr;

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::header;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, types::State};

/// Limit of simultaneous connections to the target.
const MAX_CONNECTIONS: usize = 10_000;

/// Settings of the pass-through proxy.
#[derive(Clone, Debug)]
pub(crate) struct ProxySettings {
    pub(crate) listen: SocketAddr,
    /// Receives every request.
    pub(crate) target: SocketAddr,
}

/// Serves until the process ends.
///
/// # Errors
/// Returns an error if the address is already in use.
pub(crate) async fn serve(settings: ProxySettings) -> anyhow::Result<()> {
    let target = settings.target;
    web::server(async move || {
        let connector = Connector::new().limit(MAX_CONNECTIONS);
        let client = Client::builder().connector::<()>(connector).disable_timeout();
        let Ok(client) = client.build(SharedCfg::default()).await else {
            // Without a client no request can be forwarded.
            std::process::abort();
        };
        App::new().state(client).state(target).service(web::resource("/{path}*").to(forward))
    })
    .workers(1)
    .bind(settings.listen)?
    .run()
    .await?;
    Ok(())
}

async fn forward(
    client: State<Client>,
    target: State<SocketAddr>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let url = format!("http://{}{}", *target, request.path());
    let Ok(response) = client.request(request.method().clone(), url).send_body(body).await else {
        return HttpResponse::BadGateway().finish();
    };
    if !response.headers().contains_key(header::CONTENT_LENGTH) {
        return HttpResponse::build(response.status()).streaming(response);
    }
    match response.body().await {
        Ok(body) => HttpResponse::build(response.status()).body(body),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}
