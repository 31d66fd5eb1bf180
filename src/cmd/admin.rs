//! Questions to the operators' interface of an instance.

use {
    super::{Error, Result},
    hawthornmount_http::{Body, Request, client::Client},
    pico_args::Arguments,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

/// Time that an answer may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the address of the operators' interface.
pub fn address(arguments: &mut Arguments) -> Result<SocketAddr> {
    arguments.value_from_str("--admin").map_err(Error::usage)
}

/// Gets a path and prints the answer as it is.
pub fn print(address: SocketAddr, path: &str) -> Result<ExitCode> {
    show(address, path, |body| Ok(format!("{}\n", String::from_utf8_lossy(body))))
}

/// Gets a path and prints what `render` makes of the answer.
pub fn show(
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
    let answer = runtime
        .block_on(Client::new().call(address, request, TIMEOUT))
        .map_err(Error::failed("the instance gives no answer"))?;
    if answer.status.is_success() {
        print!("{}", render(&answer.body)?);
        Ok(ExitCode::SUCCESS)
    } else {
        eprintln!("hawthornmount: {}", String::from_utf8_lossy(&answer.body).trim());
        Ok(ExitCode::FAILURE)
    }
}
