//! The live list as an HTTP server.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use reachtally_listen::{Error, Listener};
use reachtally_log::http::ListedBox;
use rocket::serde::json::Json;
use rocket::{get, put, routes};

type Boxes = Arc<Mutex<BTreeMap<String, ListedBox>>>;

fn lock(boxes: &Boxes) -> MutexGuard<'_, BTreeMap<String, ListedBox>> {
    boxes
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A running live list server.
pub struct List {
    listener: Listener,
    boxes: Boxes,
}

impl List {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.listener.url()
    }

    /// Adds or replaces a box, with its leaving flag.
    pub fn set(&self, name: &str, leaving: bool) {
        let listed = ListedBox {
            leaving,
            ..listed_box(name)
        };
        lock(&self.boxes).insert(name.to_owned(), listed);
    }

    /// Removes a box.
    pub fn remove(&self, name: &str) {
        lock(&self.boxes).remove(name);
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.listener.stop().await;
    }

    /// Waits until the server stops.
    pub async fn stopped(self) {
        self.listener.stopped().await;
    }
}

/// Returns a box that is neither leaving nor an entry box.
fn listed_box(name: &str) -> ListedBox {
    ListedBox {
        name: name.to_owned(),
        leaving: false,
        peer: None,
    }
}

/// Starts a live list with the boxes `names`, none of them leaving.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn start(
    listen: reachtally_listen::Options,
    names: impl IntoIterator<Item = String>,
) -> Result<List, Error> {
    let boxes: BTreeMap<String, ListedBox> = names
        .into_iter()
        .map(|name| (name.clone(), listed_box(&name)))
        .collect();
    let boxes: Boxes = Arc::new(Mutex::new(boxes));
    let managed = boxes.clone();
    let build = |rocket: rocket::Rocket<rocket::Build>| {
        rocket
            .manage(managed)
            .mount("/", routes![show, set, remove])
    };
    let listener = reachtally_listen::start(listen, build).await?;
    Ok(List { listener, boxes })
}

#[get("/boxes")]
fn show(boxes: &rocket::State<Boxes>) -> Json<Vec<ListedBox>> {
    Json(lock(boxes).values().cloned().collect())
}

#[put("/boxes", data = "<listed>")]
fn set(listed: Json<ListedBox>, boxes: &rocket::State<Boxes>) {
    let listed = listed.into_inner();
    lock(boxes).insert(listed.name.clone(), listed);
}

#[rocket::delete("/boxes/<name>")]
fn remove(name: &str, boxes: &rocket::State<Boxes>) {
    lock(boxes).remove(name);
}
