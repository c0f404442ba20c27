//! Stand-in for the platform's object store: immutable objects in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use mangotrestle_platform::object_store::{CHECKSUM_HEADER, OBJECTS_PATH};

use super::service::{self, StandIn};

/// Objects in memory, by name.
#[derive(Debug, Default)]
pub struct Objects {
    objects: Mutex<BTreeMap<String, Object>>,
}

#[derive(Clone, Debug)]
struct Object {
    content: Bytes,
    checksum: http::HeaderValue,
}

/// An object store with a server and injectable faults.
pub type ObjectStoreStandIn = StandIn<Objects>;

/// Returns an empty object store.
#[must_use]
pub fn new() -> ObjectStoreStandIn {
    StandIn::new(Arc::new(Objects::default()))
}

impl Objects {
    /// Returns the names of all objects.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Returns the content of an object, if it exists.
    #[must_use]
    pub fn content(&self, name: &str) -> Option<Bytes> {
        self.lock().get(name).map(|object| object.content.clone())
    }

    /// Replaces the content of an object without a client's request, if it exists. The checksum is
    /// updated only if `update_checksum`: that imitates an object that was damaged before it was
    /// stored.
    pub fn damage(&self, name: &str, content: Bytes, update_checksum: bool) {
        let mut objects = self.lock();
        let Some(object) = objects.get_mut(name) else {
            return;
        };
        if update_checksum {
            object.checksum = checksum(&content);
        }
        object.content = content;
    }

    /// Removes an object without a client's request, as if the store had lost it.
    pub fn remove(&self, name: &str) {
        self.lock().remove(name);
    }

    fn put(&self, name: &str, request: &http::Request<Bytes>) -> http::Response<Bytes> {
        let content = request.body().clone();
        let checksum = checksum(&content);
        if request.headers().get(CHECKSUM_HEADER) != Some(&checksum) {
            return service::status(http::StatusCode::BAD_REQUEST);
        }
        let mut objects = self.lock();
        match objects.get(name) {
            Some(stored) if stored.content != content => {
                service::status(http::StatusCode::CONFLICT)
            }
            Some(_) => service::status(http::StatusCode::OK),
            None => {
                objects.insert(name.to_owned(), Object { content, checksum });
                service::status(http::StatusCode::CREATED)
            }
        }
    }

    fn get(&self, name: &str) -> http::Response<Bytes> {
        let objects = self.lock();
        let Some(object) = objects.get(name) else {
            return service::status(http::StatusCode::NOT_FOUND);
        };
        let mut response = service::answer(object.content.clone());
        let checksum = object.checksum.clone();
        response.headers_mut().insert(CHECKSUM_HEADER, checksum);
        response
    }

    fn delete(&self, name: &str) -> http::Response<Bytes> {
        match self.lock().remove(name) {
            Some(_) => service::status(http::StatusCode::NO_CONTENT),
            None => service::status(http::StatusCode::NOT_FOUND),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Object>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn checksum(content: &Bytes) -> http::HeaderValue {
    let text = format!("{:08x}", crc32fast::hash(content));
    http::HeaderValue::from_str(&text).unwrap_or_else(|_| http::HeaderValue::from_static(""))
}

impl service::Service for Objects {
    fn handle(&self, request: &http::Request<Bytes>) -> http::Response<Bytes> {
        let Some(name) = request.uri().path().strip_prefix(OBJECTS_PATH) else {
            return service::status(http::StatusCode::NOT_FOUND);
        };
        match *request.method() {
            http::Method::PUT => self.put(name, request),
            http::Method::GET => self.get(name),
            http::Method::DELETE => self.delete(name),
            _ => service::status(http::StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}
