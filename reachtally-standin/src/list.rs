//! The live list.

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

/// A running live list.
pub struct List {
    listener: Listener,
    boxes: Boxes,
}

impl List {
    /// Its base address.
    pub fn url(&self) -> String {
        self.listener.url()
    }

    /// Show a box, as leaving or not.
    pub fn set(&self, name: &str, leaving: bool) {
        let listed = ListedBox {
            leaving,
            ..plain(name)
        };
        lock(&self.boxes).insert(name.to_owned(), listed);
    }

    /// Show a box no longer.
    pub fn remove(&self, name: &str) {
        lock(&self.boxes).remove(name);
    }

    /// Close it.
    pub async fn stop(self) {
        self.listener.stop().await;
    }

    /// Wait until it stops.
    pub async fn stopped(self) {
        self.listener.stopped().await;
    }
}

/// A box that is not leaving and no entry box.
fn plain(name: &str) -> ListedBox {
    ListedBox {
        name: name.to_owned(),
        leaving: false,
        peer: None,
    }
}

/// Start a live list that shows `boxes` as not leaving.
///
/// # Errors
/// If the address can't be bound.
pub async fn start(
    listen: reachtally_listen::Options,
    names: impl IntoIterator<Item = String>,
) -> Result<List, Error> {
    let boxes: BTreeMap<String, ListedBox> = names
        .into_iter()
        .map(|name| (name.clone(), plain(&name)))
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
