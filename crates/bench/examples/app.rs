//! A stand-in of an application backend server as a process; its argument is its settings as JSON.

use std::io;

use oriolering_bench::soak::app::serve_app;

#[ntex::main]
async fn main() -> io::Result<()> {
    let settings = std::env::args().nth(1).unwrap_or_default();
    serve_app(serde_json::from_str(&settings)?).await
}
