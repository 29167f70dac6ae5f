//! The control address of a stand-in store that runs as a process.

use std::io;
use std::net::TcpListener;

use ntex::util::Bytes;
use ntex::web::types::{Json, PayloadConfig, Query, State as WebState};
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::Deserialize;

use crate::store::Store;
use crate::store_fault::StoreFault;

/// The largest value that is taken; the platform's store has the same bound.
const VALUE_BYTES: usize = 1 << 20;

impl Store {
    /// Takes changes and faults on `listener` until the future is dropped or the process ends.
    ///
    /// `POST /_put?key=K` writes the body at the key, `POST /_delete?key=K` removes the item,
    /// `POST /_drop_history` forgets the history, `POST /_fault` takes a [`StoreFault`] as JSON,
    /// and `GET /_reads` returns the reads so far.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener cannot be used.
    pub async fn serve_control(self, listener: TcpListener) -> io::Result<()> {
        let server = HttpServer::new(move || {
            App::new()
                .state(self.clone())
                .state(PayloadConfig::new(VALUE_BYTES))
                .route("/_put", web::post().to(post_put))
                .route("/_delete", web::post().to(post_delete))
                .route("/_drop_history", web::post().to(post_drop_history))
                .route("/_fault", web::post().to(post_fault))
                .route("/_reads", web::get().to(get_reads))
        });
        // Signals end the process at once: there is nothing to keep.
        let server = server.workers(1).disable_signals();
        server.listen(listener)?.run().await
    }
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

async fn post_put(store: WebState<Store>, query: Query<KeyQuery>, body: Bytes) -> HttpResponse {
    let revision = store.put(&query.key, body);
    HttpResponse::Ok().body(revision.to_string())
}

async fn post_delete(store: WebState<Store>, query: Query<KeyQuery>) -> HttpResponse {
    match store.delete(&query.key) {
        Some(revision) => HttpResponse::Ok().body(revision.to_string()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn post_drop_history(store: WebState<Store>) -> HttpResponse {
    store.drop_history();
    HttpResponse::NoContent().finish()
}

async fn post_fault(store: WebState<Store>, fault: Json<StoreFault>) -> HttpResponse {
    store.set_fault(fault.into_inner());
    HttpResponse::NoContent().finish()
}

async fn get_reads(store: WebState<Store>) -> HttpResponse {
    HttpResponse::Ok().json(&store.reads())
}
