//! Plain pass-through on volo-http, the baseline for the cost that the router adds.

use {
    hawthornmount_http::{Request, Response},
    std::{convert::Infallible, net::SocketAddr},
    tokio::net::TcpListener,
    volo::{Service, net::incoming::DefaultIncoming},
    volo_http::{
        client::Client,
        context::ServerContext,
        http::{StatusCode, header},
        server::Server,
    },
};

#[derive(Clone)]
struct Passthrough {
    client: Client,
    engine: SocketAddr,
}

impl Service<ServerContext, Request> for Passthrough {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let (mut parts, body) = request.into_parts();
        parts.headers.remove(header::HOST);
        let target = format!("http://{}{}", self.engine, parts.uri.path());
        let mut outgoing = self.client.request(parts.method, target).body(body);
        outgoing.headers_mut().extend(parts.headers);
        Ok(outgoing.send().await.unwrap_or_else(|_| {
            let mut response = Response::default();
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        }))
    }
}

/// Forwards every request to `engine` until the runtime ends.
pub async fn serve(listener: TcpListener, engine: SocketAddr) {
    let client = Client::builder().build().expect("default options are valid");
    let server = Server::new(Passthrough { client, engine }).http1_only();
    let _ = server.run(DefaultIncoming::from(listener)).await;
}
