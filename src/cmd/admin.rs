//! Requests to the operators' interface of an instance.

use {
    super::{Error, Result},
    hawthornmount_http::{Body, Request, client::Client},
    pico_args::Arguments,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

/// Time-out of a request to the operators' interface.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Parses `--admin`, the address of the operators' interface.
pub fn address(arguments: &mut Arguments) -> Result<SocketAddr> {
    arguments.value_from_str("--admin").map_err(Error::usage)
}

/// Requests a path and prints the body of the response unchanged.
pub fn print_body(address: SocketAddr, path: &str) -> Result<ExitCode> {
    print_rendered(address, path, |body| Ok(format!("{}\n", String::from_utf8_lossy(body))))
}

/// Requests a path and prints the body of the response as formatted by `render`.
pub fn print_rendered(
    address: SocketAddr,
    path: &str,
    render: impl FnOnce(&[u8]) -> Result<String>,
) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed("no runtime can be started"))?;
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = path.parse().map_err(Error::failed("the name is not valid in a path"))?;
    let response = runtime
        .block_on(Client::new().call(address, request, REQUEST_TIMEOUT))
        .map_err(Error::failed("the instance gives no answer"))?;
    if response.status.is_success() {
        print!("{}", render(&response.body)?);
        Ok(ExitCode::SUCCESS)
    } else {
        eprintln!("hawthornmount: {}", String::from_utf8_lossy(&response.body).trim());
        Ok(ExitCode::FAILURE)
    }
}
